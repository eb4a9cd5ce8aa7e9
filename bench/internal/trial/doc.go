// Package trial runs a seeded mix of work on a manual clock through the system's decision modules, or through a plain
// baseline, and scores what users measure.
package trial
