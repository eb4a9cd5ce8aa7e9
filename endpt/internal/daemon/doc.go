// Package daemon assembles and runs the simulated endpoints of a process, their faults and their audit.
package daemon
