// Package admin serves the operator API of an entry instance: declarations, changes, proposals, status, state dump,
// metrics and the health check.
package admin
