// Package logs provides the programs' logger, which writes each event as a line of key=value pairs (logfmt).
package logs
