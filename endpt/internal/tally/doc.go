// Package tally counts the runs and the refusals of all endpoints of the stand-in.
package tally
