// Package daemon wires the parts of a node, runs them and stops them gracefully.
package daemon
