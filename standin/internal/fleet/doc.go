// Package fleet plays the platform's workers: worker leases with fencing tokens, tasks under task leases, run times
// and sizes that differ from what was declared.
package fleet
