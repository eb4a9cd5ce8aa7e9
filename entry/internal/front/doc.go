// Package front is the callers' HTTP API: requests, request IDs, jobs and open queues.
package front
