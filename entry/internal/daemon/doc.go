// Package daemon wires the parts of an entry instance together, runs them and stops them in order.
package daemon
