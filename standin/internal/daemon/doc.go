// Package daemon assembles and runs the stand-in of the platform.
package daemon
