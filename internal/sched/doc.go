// Package sched is the scheduler ("placer") of one data centre: it takes queued tasks in the order of package policy,
// binds them to the workers that package place selects, starts them under the worker leases of package lease, and
// records how they end.
package sched
