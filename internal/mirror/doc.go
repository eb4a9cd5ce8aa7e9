// Package mirror keeps a copy of the newest records of one partition of the store and tells when it was last current.
package mirror
