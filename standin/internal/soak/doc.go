// Package soak runs several entry instances in one process on virtual time, under faults that a seed determines. A violated
// invariant ends the run, and the stand-in's audit must find no lost, duplicated or misplaced task.
package soak
