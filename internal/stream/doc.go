// Package stream connects one entry instance to the platform's log: it reads the log and applies it to the state
// machine, commits operations in groups and confirms them by reading them back, reads and appends through peers while
// the log is unreachable, and writes and restores snapshots.
package stream
