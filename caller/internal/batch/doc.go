// Package batch submits the jobs of an example file and follows them until they are done.
package batch
