// Package member tracks the other entry instances: their heartbeats and liveness, this instance's connectivity state
// and what it allows, the election of placers, and the records of members that join and leave.
package member
