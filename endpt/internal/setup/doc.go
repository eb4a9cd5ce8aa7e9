// Package setup holds the settings of the endpoints' stand-in.
package setup
