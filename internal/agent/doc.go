// Package agent defines the scheduler's view of workers: their entries in the registry, the commands sent to them under
// a fencing token, their reports on runs, and the placement advice for them.
package agent
