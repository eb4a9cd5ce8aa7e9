// Package lease manages the worker leases of one data centre: it acquires and renews them, extends task leases, sends
// each worker its commands one at a time, and suspects workers that don't answer.
package lease
