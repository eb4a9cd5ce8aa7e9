// Package roster simulates the platform's instance list, which shows changes only after a lag.
package roster
