// Package mirror keeps a copy of the newest records of one partition of the store.
package mirror
