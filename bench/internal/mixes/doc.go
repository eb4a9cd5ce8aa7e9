// Package mixes generates seeded workloads of several classes and teams, in which the declared sizes and run times of
// tasks differ widely from the actual ones.
package mixes
