// Package setup holds the settings of the platform's stand-in.
package setup
