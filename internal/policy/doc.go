// Package policy decides the order of work, the reservation to ask for, the victims of preemption, the quarantine of
// workers and the data centre that a task is offered to first.
package policy
