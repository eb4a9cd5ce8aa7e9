// Package cmds holds the commands of aw-ctl.
package cmds
