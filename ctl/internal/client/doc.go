// Package client calls the operator API of an entry instance.
package client
