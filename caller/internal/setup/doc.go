// Package setup holds the settings of the load tool.
package setup
