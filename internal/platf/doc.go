// Package platf is the client of the platform: it calls the log, the instance list and the workers over HTTP with JSON
// messages.
package platf
