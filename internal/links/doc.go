// Package links combines membership and the record stream into the connection state that the placer, the leases and the
// at-most-once table ask for.
package links
