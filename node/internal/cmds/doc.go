// Package cmds is the command line of aw-node.
package cmds
