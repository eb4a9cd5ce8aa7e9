// Package shell runs the command line of a program: it parses the arguments, executes one command and turns the command's
// error into a message and an exit code.
package shell
