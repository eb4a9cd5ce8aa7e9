// Package faults holds tests that start the real programs on loopback and bring about the failures that only processes
// show: sudden ends, pauses, outages of the platform and racing operators. It has no code outside its tests.
package faults
