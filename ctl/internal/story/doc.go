// Package story reads the logs of several processes and tells what happened to one job.
package story
