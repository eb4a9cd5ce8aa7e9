// Package slopes measures what the parts of the system cost at several sizes.
package slopes
