// Package invar counts violations of the named invariants and makes them fatal in tests.
package invar
