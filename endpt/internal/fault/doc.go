// Package fault holds the faults that tests have set on simulated endpoints.
package fault
