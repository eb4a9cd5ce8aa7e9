// Package pulls records attempts as lost when a team's own runner took the task from an open queue and did not report its
// end before the lease expired.
package pulls
