// Package opapi holds the messages of the operator API, which aw-entry serves and aw-ctl calls.
package opapi
