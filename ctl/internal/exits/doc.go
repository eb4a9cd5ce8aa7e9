// Package exits defines the exit codes of aw-ctl and the errors that determine them.
package exits
