// Package sched is the placer of a data centre: it takes queued tasks in the order of package policy, binds them to
// workers that package place chooses, starts them under the leases of package lease and records their ends.
package sched
