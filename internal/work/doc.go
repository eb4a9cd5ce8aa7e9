// Package work holds what a submitter hands in as a job with stages, and the progress that its owner records of it.
package work
