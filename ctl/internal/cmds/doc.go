// Package cmds implements the commands of aw-ctl.
package cmds
