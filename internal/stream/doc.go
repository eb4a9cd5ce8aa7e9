// Package stream reads and writes the platform's log for one entry instance: it tails the log into the fold, commits
// operations in groups and reads them back, relays through peers, and writes and restores snapshots.
package stream
