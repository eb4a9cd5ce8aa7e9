package faults

import (
	"sync"
	"syscall"
	"testing"
	"time"
)

// leaseTerm is how long a worker lease lasts without renewal.
const leaseTerm = 3 * time.Second

// TestPlacerKilled guards no-loss and single-run against the sudden end of a placer: work that it has bound or started
// could be lost with it, or be started again by its successor.
func TestPlacerKilled(t *testing.T) {
	t.Parallel()
	c := newCluster(t, layout{entries: 2, workers: 3})
	victim := c.awaitPlacer()
	jobs := batches("load", 40, 4, "1s")
	var load sync.WaitGroup
	load.Go(func() { c.submitAll(jobs) })
	within(t, patience, "work runs", func() bool { return c.audit().Starts > len(jobs)/2 })
	old := c.worker("dc1-w1").Token
	victim.kill()
	within(t, patience, "the leases move", func() bool {
		next := c.placer()
		return next != nil && next != victim && c.worker("dc1-w1").Token > old
	})
	load.Wait()
	local := batch("after", 2, "100ms")
	local.DataCentres = []string{"dc1"}
	c.submitAll([]job{local})
	c.awaitDone(append(jobs, local))
}

// TestPlacerPaused guards single-run against a placer that sleeps past its leases: it wakes up in the middle of what it
// was doing, with tokens that are no longer valid.
func TestPlacerPaused(t *testing.T) {
	t.Parallel()
	c := newCluster(t, layout{entries: 2, workers: 3})
	victim := c.awaitPlacer()
	jobs := batches("load", 40, 4, "1s")
	var load sync.WaitGroup
	load.Go(func() { c.submitAll(jobs) })
	within(t, patience, "work runs", func() bool { return c.audit().Starts > len(jobs)/2 })
	old := c.worker("dc1-w1").Token
	victim.signal(t, syscall.SIGSTOP)
	time.Sleep(2 * leaseTerm)
	within(t, patience, "another instance takes the leases", func() bool { return c.worker("dc1-w1").Token > old })
	victim.signal(t, syscall.SIGCONT)
	load.Wait()
	within(t, patience, "the woken instance drops its old leases", func() bool {
		held := c.leases(victim)
		for _, l := range held {
			if l.Worker == "dc1-w1" && l.Token <= old {
				return false
			}
		}
		return true
	})
	c.awaitDone(jobs)
}
