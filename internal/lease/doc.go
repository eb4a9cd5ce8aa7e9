// Package lease holds the worker leases of one data centre: it acquires and renews them, extends task leases, sends
// commands to each worker one after another, and suspects workers that don't answer.
package lease
