// Package member keeps track of the other entry instances: heartbeats and liveness, the connectivity state with the
// duties that it allows, the election of placers, and the records of members that join and leave.
package member
