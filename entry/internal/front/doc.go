// Package front serves the HTTP API for clients: requests, request IDs, jobs and open queues.
package front
