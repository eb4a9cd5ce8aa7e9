// Package fleet simulates the platform's workers: worker leases with fencing tokens, tasks under task leases, and run
// times and sizes that differ from the declared ones.
package fleet
