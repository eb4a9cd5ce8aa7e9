// Package state is the replicated state machine of the platform: each entry instance applies the envelopes of the
// shared log, in order, to declarations, members, workers, jobs and team usage, and so all instances reach the same
// state.
package state
