// Package fleet plays the workers on a manual clock: tasks progress, slow down when processors are short, and are
// killed when memory is.
package fleet
