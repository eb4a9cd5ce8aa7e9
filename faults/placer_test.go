package faults

import (
	"sync"
	"syscall"
	"testing"
	"time"
)

// leaseTTL is the time after which a worker lease expires without renewal.
const leaseTTL = 3 * time.Second

// TestPlacerKilled guards the invariants no-loss and single-run against a placer that is killed: tasks that it has bound or
// started could be lost, or be started again by its successor.
func TestPlacerKilled(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{entries: 2, workers: 3})
	victim := c.awaitPlacer()
	jobs := batches("load", 40, 4, "1s")
	var load sync.WaitGroup
	load.Go(func() { c.submitAll(jobs) })
	within(t, waitLimit, "work runs", func() bool { return c.audit().Starts > len(jobs)/2 })
	old := c.worker("dc1-w1").Token
	victim.kill()
	within(t, waitLimit, "the leases move", func() bool {
		next := c.placer()
		return next != nil && next != victim && c.worker("dc1-w1").Token > old
	})
	load.Wait()
	local := batch("after", 2, "100ms")
	local.DataCentres = []string{"dc1"}
	c.submitAll([]job{local})
	c.awaitDone(append(jobs, local))
}

// TestPlacerPaused guards the invariant single-run against a placer that is paused until its leases have expired: when it
// resumes, it continues what it was doing with fencing tokens that are no longer valid.
func TestPlacerPaused(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{entries: 2, workers: 3})
	victim := c.awaitPlacer()
	jobs := batches("load", 40, 4, "1s")
	var load sync.WaitGroup
	load.Go(func() { c.submitAll(jobs) })
	within(t, waitLimit, "work runs", func() bool { return c.audit().Starts > len(jobs)/2 })
	old := c.worker("dc1-w1").Token
	victim.signal(t, syscall.SIGSTOP)
	time.Sleep(2 * leaseTTL)
	within(t, waitLimit, "another instance takes the leases", func() bool { return c.worker("dc1-w1").Token > old })
	victim.signal(t, syscall.SIGCONT)
	load.Wait()
	within(t, waitLimit, "the resumed instance drops its old leases", func() bool {
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
