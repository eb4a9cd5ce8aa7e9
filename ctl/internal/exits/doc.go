// Package exits holds the exit codes of aw-ctl and the errors that lead to them.
package exits
