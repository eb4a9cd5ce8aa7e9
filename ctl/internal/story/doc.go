// Package story reads the logs of several processes and prints the history of a job.
package story
