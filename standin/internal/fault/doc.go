// Package fault holds the faults that tests have set on the platform's stand-in.
package fault
