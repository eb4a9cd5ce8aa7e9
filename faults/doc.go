// Package faults tests the real programs as processes on the loopback interface, under faults that tests within one process
// can't produce: killed and paused processes, outages of the platform and concurrent operators. It contains only tests.
package faults
