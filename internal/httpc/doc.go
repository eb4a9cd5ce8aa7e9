// Package httpc sends HTTP requests to one host over pooled connections. It sends each request at most once and reports
// whether a failed request may have reached the host.
package httpc
