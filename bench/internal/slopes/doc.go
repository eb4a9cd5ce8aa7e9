// Package slopes measures the cost of parts of the system at several sizes.
package slopes
