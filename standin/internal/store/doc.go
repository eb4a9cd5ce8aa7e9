// Package store plays the platform's append-only log, in memory.
package store
