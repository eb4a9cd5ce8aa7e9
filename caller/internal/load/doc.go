// Package load sends a seeded mix of requests and checks that each answer belongs to its request.
package load
