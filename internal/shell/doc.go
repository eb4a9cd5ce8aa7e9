// Package shell runs the command line of a program that has settings in JSON: it parses the arguments, carries out one
// command and turns its error into a message and an exit code.
package shell
