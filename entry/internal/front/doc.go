// Package front serves the HTTP API for callers: requests, request IDs, jobs and open queues.
package front
