// Package cmds implements the command line of aw-entry.
package cmds
