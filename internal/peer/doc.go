// Package peer implements the calls between entry instances: Twirp over HTTP/1.1, on a listener of its own.
//
// Client gives every call a deadline and replaces connections that have stopped responding. Server adapts the generated
// service to the interfaces HeartbeatHandler, Stream and RequestOwner, which other packages implement.
package peer
