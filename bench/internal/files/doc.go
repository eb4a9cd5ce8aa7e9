// Package files writes results to files for other programs.
package files
