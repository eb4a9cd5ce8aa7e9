// Package terms holds the operators' configuration as it is in force on a deployment: queues, pools, teams with their
// keys, shares and upper limits, request limits and data centres that are out of service.
package terms
