// Package links tells the placer, the leases and the at-most-once table how their instance is connected, from
// membership and from the stream.
package links
