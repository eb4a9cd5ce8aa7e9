package faults

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	outageTime = 10 * time.Second
	// keyBound is within which a withdrawn key stops working.
	keyBound = 5 * time.Second
)

// TestLogOutage guards no-loss, true-refusal and config-forward against an outage of the platform's log while work runs
// and an instance is replaced: work that can't be recorded could be lost or run again, and the new instance could serve
// with declarations that are older than those in force.
func TestLogOutage(t *testing.T) {
	t.Parallel()
	c := newCluster(t, layout{entries: 2, workers: 2})
	placer := c.awaitPlacer()
	c.mustCtl(c.entries[0], "keys", "withdraw", "research", "--hash", hash(researchKey))
	jobs := batches("load", 20, 4, "3s")
	c.submitAll(jobs)
	within(t, patience, "all work is bound", func() bool {
		return !slices.ContainsFunc(jobs, func(j job) bool { return c.job(c.entries[0], j.ID).Phases["bound"] < j.Tasks })
	})
	victim := c.in("dc1")[0]
	if victim == placer {
		victim = c.in("dc1")[1]
	}
	inForce := c.status(c.entries[0]).Declarations
	began := time.Now()
	restore := c.fault(map[string]any{"kind": "log-outage"})
	within(t, outageTime, "instances notice the outage", func() bool {
		return c.all(func(e *entry) bool { return c.status(e).Connectivity == "outage" })
	})
	before := c.audit()
	victim.kill()
	victim.run(c)
	replaced := 0
	for i := 0; time.Since(began) < outageTime; i++ {
		for _, e := range c.live() {
			if e != victim {
				c.checkOutage(i, e)
			}
		}
		replaced += c.checkReplaced(victim, inForce)
		time.Sleep(4 * pollTick)
	}
	during := c.audit()
	assert.Check(t, during.Outcomes["succeeded"] > before.Outcomes["succeeded"], "no task ended during the outage")
	assert.Check(t, during.Starts > before.Starts, "no bound task started during the outage")
	assert.Check(t, replaced > 0, "the new instance answered no call during the outage")
	restore()
	late := batches("late", 4, 2, "100ms")
	c.submitAll(late)
	c.awaitDone(append(jobs, late...))
}

// TestPlacerKilledInOutage guards the progress of bound work against the end of a placer while the log is out: the next
// holder of its workers must start what is bound to them.
func TestPlacerKilledInOutage(t *testing.T) {
	t.Parallel()
	c := newCluster(t, layout{entries: 2, workers: 2})
	victim := c.awaitPlacer()
	local := batch("local", 40, "1s")
	local.DataCentres = []string{"dc1"}
	c.submitAll([]job{local})
	within(t, patience, "all work is bound", func() bool {
		return c.job(c.entries[1], local.ID).Phases["bound"] == local.Tasks
	})
	restore := c.fault(map[string]any{"kind": "log-outage"})
	defer restore()
	within(t, outageTime, "instances notice the outage", func() bool {
		return c.all(func(e *entry) bool { return c.status(e).Connectivity == "outage" })
	})
	old := c.worker("dc1-w1").Token
	victim.kill()
	// An instance that hears from no other one of its data centre doesn't renew leases while the log is out.
	victim.run(c)
	within(t, patience, "the leases move", func() bool { return c.worker("dc1-w1").Token > old && c.placer() != nil })
	taken := c.audit().Starts
	within(t, outageTime, "the next holder starts bound work", func() bool { return c.audit().Starts > taken })
}

// checkOutage sends a job and a request to an instance during an outage of the log.
func (c *cluster) checkOutage(i int, e *entry) {
	c.t.Helper()
	got := c.submit(e, batch(fmt.Sprintf("refused-%s-%d", e.name, i), 1, "100ms"), pricingKey)
	assert.Check(c.t, got.outcome == notRun, "%s: submission: %d %s %s", e.name, got.status, got.outcome, got.body)
	got = request(client, e, quoteClass, work{ID: fmt.Sprintf("o-%s-%d", e.name, i)}, repeatable)
	assert.Check(c.t, got.outcome == answered, "%s: request: %d %s %s", e.name, got.status, got.outcome, got.body)
}

// checkReplaced checks that an instance that started during the outage has the newest declarations or refuses work. It
// returns 1 if the instance answered at all.
func (c *cluster) checkReplaced(e *entry, inForce int64) int {
	c.t.Helper()
	withdrawn := request(client, e, openClass, work{ID: "withdrawn"}, map[string]string{"Team-Key": researchKey})
	if withdrawn.outcome == noAnswer {
		return 0
	}
	assert.Check(c.t, withdrawn.outcome == notRun, "a withdrawn key worked: %d %s", withdrawn.status, withdrawn.body)
	granted := request(client, e, openClass, work{ID: "granted"}, map[string]string{"Team-Key": pricingKey})
	if granted.status == http.StatusOK {
		have := c.status(e).Declarations
		assert.Check(c.t, have == inForce, "serves with the declarations of offset %d, not %d", have, inForce)
	} else {
		assert.Check(c.t, granted.outcome == notRun, "%d %s", granted.status, granted.body)
	}
	return 1
}
