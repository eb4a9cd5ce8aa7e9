// Package httpc sends HTTP requests over pooled connections of one host, each request at most once, and reports
// whether a request that failed may have reached the host.
package httpc
