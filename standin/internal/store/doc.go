// Package store simulates the platform's append-only log, in memory.
package store
