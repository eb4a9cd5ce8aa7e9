// Package uptime measures time that goes on while the machine is suspended.
package uptime
