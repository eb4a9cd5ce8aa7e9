// Package mirror keeps a local copy of the newest record of each key of one partition of the store.
package mirror
