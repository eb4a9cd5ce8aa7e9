// Package peer carries the calls between entry instances: twirp over HTTP/1.1 on a net/http listener of its own.
//
// Client gives every call a deadline and replaces connections that went silent; Server adapts the generated service to
// the interfaces Beats, Journal and Requests, which other packages implement.
package peer
