// Package batch submits the jobs of a file and polls them until they are done.
package batch
