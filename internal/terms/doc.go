// Package terms holds the operators' configuration that is in force: queues, pools on standby, teams with their keys,
// shares and upper limits, request limits, and data centres that are out of service.
package terms
