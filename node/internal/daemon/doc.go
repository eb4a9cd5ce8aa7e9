// Package daemon constructs the components of a node, runs them and stops them gracefully.
package daemon
