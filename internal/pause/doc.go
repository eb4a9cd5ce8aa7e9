// Package pause waits for a duration, but no longer than until a context ends.
package pause
