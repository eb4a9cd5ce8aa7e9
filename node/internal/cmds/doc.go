// Package cmds implements the command line of aw-node.
package cmds
