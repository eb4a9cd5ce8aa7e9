// Package platf reaches the platform's log, instance list and workers over HTTP and JSON.
package platf
