// Package policy holds the scheduling policy: the order of queued work, the size of reservations, the choice of
// preemption victims, the quarantine of failing workers and the order in which data centres are offered a task.
package policy
