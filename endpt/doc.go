// Command aw-endpt simulates endpoints for tests: each has its own port, slots and connection limit. It injects faults on
// request.
package main
