// Package setup holds the settings of the stand-in of the platform.
package setup
