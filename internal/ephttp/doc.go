// Package ephttp sends requests to endpoints over HTTP and tells exactly whether a request that failed may have run.
package ephttp
