// Package invar counts checks and violations of named invariants, and makes violations fatal in tests.
package invar
