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
	// keyBound is the time within which a withdrawn key stops working.
	keyBound = 5 * time.Second
)

// TestLogOutage guards the invariants no-loss, true-refusal and config-forward against an outage of the platform's log while
// tasks run and an instance is restarted: tasks whose ends can't be recorded could be lost or run again, and the restarted
// instance could serve with outdated declarations.
func TestLogOutage(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{entries: 2, workers: 2})
	placer := c.awaitPlacer()
	c.mustCtl(c.entries[0], "keys", "withdraw", "research", "--hash", hashKey(researchKey))
	jobs := batches("load", 20, 4, "3s")
	c.submitAll(jobs)
	within(t, waitLimit, "all work is bound", func() bool {
		return !slices.ContainsFunc(jobs, func(j job) bool { return c.job(c.entries[0], j.ID).Phases["bound"] < j.Tasks })
	})
	victim := c.liveIn("dc1")[0]
	if victim == placer {
		victim = c.liveIn("dc1")[1]
	}
	inForce := c.status(c.entries[0]).Declarations
	began := time.Now()
	clearOutage := c.fault(map[string]any{"kind": "log-outage"})
	within(t, outageTime, "instances notice the outage", func() bool {
		return c.allLive(func(e *entry) bool { return c.status(e).Connectivity == "outage" })
	})
	before := c.audit()
	victim.kill()
	victim.run(c)
	answers := 0
	for i := 0; time.Since(began) < outageTime; i++ {
		for _, e := range c.live() {
			if e != victim {
				c.checkOutage(i, e)
			}
		}
		answers += c.checkRestarted(victim, inForce)
		time.Sleep(4 * pollInterval)
	}
	during := c.audit()
	assert.Check(t, during.Outcomes["succeeded"] > before.Outcomes["succeeded"], "no task ended during the outage")
	assert.Check(t, during.Starts > before.Starts, "no bound task started during the outage")
	assert.Check(t, answers > 0, "the restarted instance answered no call during the outage")
	clearOutage()
	late := batches("late", 4, 2, "100ms")
	c.submitAll(late)
	c.awaitDone(append(jobs, late...))
}

// TestPlacerKilledInOutage guards against tasks that stay bound but are never started because their placer was killed during
// an outage of the log: the instance that takes over the leases of its workers must start them.
func TestPlacerKilledInOutage(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{entries: 2, workers: 2})
	victim := c.awaitPlacer()
	local := batch("local", 40, "1s")
	local.DataCentres = []string{"dc1"}
	c.submitAll([]job{local})
	within(t, waitLimit, "all work is bound", func() bool {
		return c.job(c.entries[1], local.ID).Phases["bound"] == local.Tasks
	})
	clearOutage := c.fault(map[string]any{"kind": "log-outage"})
	defer clearOutage()
	within(t, outageTime, "instances notice the outage", func() bool {
		return c.allLive(func(e *entry) bool { return c.status(e).Connectivity == "outage" })
	})
	old := c.worker("dc1-w1").Token
	victim.kill()
	// An instance that hears from no other instance of its data centre doesn't renew leases during an outage of the log.
	victim.run(c)
	within(t, waitLimit, "the leases move", func() bool { return c.worker("dc1-w1").Token > old && c.placer() != nil })
	startsBefore := c.audit().Starts
	within(t, outageTime, "the new holder starts bound tasks", func() bool { return c.audit().Starts > startsBefore })
}

// checkOutage checks during an outage of the log that an instance refuses a job and answers a request.
func (c *cluster) checkOutage(i int, e *entry) {
	c.t.Helper()
	got := c.submit(e, batch(fmt.Sprintf("refused-%s-%d", e.name, i), 1, "100ms"), pricingKey)
	assert.Check(c.t, got.outcome == notRun, "%s: submission: %d %s %s", e.name, got.status, got.outcome, got.body)
	got = request(client, e, quoteClass, work{ID: fmt.Sprintf("o-%s-%d", e.name, i)}, idempotentHeader)
	assert.Check(c.t, got.outcome == answered, "%s: request: %d %s %s", e.name, got.status, got.outcome, got.body)
}

// checkRestarted checks that an instance that was restarted during the outage has the newest declarations or refuses
// requests. It returns 1 if the instance answered at all, else 0.
func (c *cluster) checkRestarted(e *entry, inForce int64) int {
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
