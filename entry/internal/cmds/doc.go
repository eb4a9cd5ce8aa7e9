// Package cmds is the command line of aw-entry.
package cmds
