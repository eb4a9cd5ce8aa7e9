// Package tally counts the runs and refusals of all simulated endpoints.
package tally
