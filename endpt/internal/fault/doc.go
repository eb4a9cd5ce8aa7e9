// Package fault holds the faults that tests have set on the endpoints' stand-in.
package fault
