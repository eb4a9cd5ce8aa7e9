// Package fleet simulates workers on a manual clock: tasks progress, slow down when the processors of a worker are
// overcommitted, and are killed when its memory is exhausted.
package fleet
