// Package pulls ends the attempts of tasks that a team's own runner took from an open queue and did not report in time.
package pulls
