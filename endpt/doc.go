// Command aw-endpt plays endpoints: each has its own port, slots and connection limit, and fails on request.
package main
