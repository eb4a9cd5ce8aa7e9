// Package opapi defines the messages, paths and headers of the operator API, which aw-entry serves and aw-ctl calls.
package opapi
