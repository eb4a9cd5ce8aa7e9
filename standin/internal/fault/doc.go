// Package fault holds the faults that tests have set on the stand-in of the platform.
package fault
