// Package ephttp sends requests to endpoints over HTTP and reports whether a request that failed may have run.
package ephttp
