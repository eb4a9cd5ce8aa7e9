// Package once keeps the at-most-once table: which request IDs have been claimed for running, so that a
// non-idempotent request runs at most once even when its retries reach different entry instances.
package once
