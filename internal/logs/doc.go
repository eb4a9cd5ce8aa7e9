// Package logs builds the programs' logger: one line of key=value pairs for each event.
package logs
