// Package trial simulates a seeded workload on a manual clock with the system's scheduling modules or with a simple
// baseline scheduler, and measures the results that users see.
package trial
