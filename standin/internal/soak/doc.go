// Package soak runs several entry instances in one process on virtual time under seeded faults, with all invariants
// fatal, and checks with the stand-in's audit that nothing was lost, doubled or misplaced.
package soak
