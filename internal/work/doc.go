// Package work defines jobs with their stages as submitted by clients, and the progress that the owner of the jobs records.
package work
