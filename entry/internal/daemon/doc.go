// Package daemon builds the components of an entry instance, runs them and stops them in order.
package daemon
