// Package files writes measurement results to JSON files.
package files
