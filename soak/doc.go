// Package soak runs nodes as separate processes against fakes of the platform. It injects faults from outside the processes,
// by a plan that a seed determines, and checks the guarantees to clients and workers. It has no code outside its tests.
package soak
