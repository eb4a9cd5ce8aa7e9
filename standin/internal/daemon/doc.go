// Package daemon puts the platform's stand-in together.
package daemon
