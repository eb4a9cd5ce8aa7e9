// Package daemon puts the endpoints' stand-in together: all endpoints of a process, their faults and their audit.
package daemon
