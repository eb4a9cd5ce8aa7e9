// Package setup holds the settings of the stand-in of endpoints.
package setup
