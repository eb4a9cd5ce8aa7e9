package faults

import (
	"net/http"
	"regexp"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// configBound is the time within which an accepted change of the declarations is in force everywhere.
const configBound = 6 * time.Second

// TestKeyWithdrawn guards the invariant team-key against instances that still accept a withdrawn key, and no-loss against the
// loss of jobs that were submitted with the key before.
func TestKeyWithdrawn(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{entries: 2, workers: 2})
	const key = "passing-key"
	headers := map[string]string{"Team-Key": key}
	send := func(e *entry) answer { return request(client, e, openClass, work{ID: "keyed"}, headers) }
	refuses := func(e *entry) bool { return send(e).outcome == notRun }
	assert.Assert(t, c.allLive(refuses), "a key worked before it was granted")
	c.mustCtl(c.entries[0], "keys", "grant", "research", "--hash", hashKey(key))
	within(t, configBound, "the key works everywhere", func() bool {
		return c.allLive(func(e *entry) bool { return send(e).outcome == answered })
	})
	submitted := batch("keyed", 8, "8s")
	submitted.Team, submitted.Class = "research", openClass
	assert.Assert(t, accepted(c.submit(c.entries[1], submitted, key)))
	c.mustCtl(c.entries[2], "keys", "withdraw", "research", "--hash", hashKey(key))
	within(t, keyBound, "the key is refused everywhere", func() bool { return c.allLive(refuses) })
	again := submitted
	again.ID = "too-late"
	for _, e := range c.entries {
		got := send(e)
		assert.Check(t, got.status == http.StatusForbidden && got.outcome == notRun, "%s: %d %s", e.name, got.status, got.body)
		got = c.submit(e, again, key)
		assert.Check(t, got.status == http.StatusForbidden && got.outcome == notRun, "%s: %d %s", e.name, got.status, got.body)
	}
	c.awaitDone([]job{submitted})
}

// TestLimitLowered guards the invariant upper-limit against tasks that were bound under a higher limit and keep running after
// it is lowered.
func TestLimitLowered(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{entries: 2, workers: 2})
	const before, limit = 20, 5
	c.submitAll([]job{batch("long", before, "60s")})
	count := func() int { return c.audit().Teams["pricing"].Tasks }
	within(t, waitLimit, "more than the lower limit runs", func() bool { return count() > 2*limit })
	code, out := c.ctl(c.entries[0], "apply", c.writeDeclarations("lower", declarations(limit)))
	assert.Equal(t, code, exitWaiting, out)
	proposal := regexp.MustCompile(`proposal (\S+) waits`).FindStringSubmatch(out)
	assert.Equal(t, len(proposal), 2, out)
	code, out = c.ctlWith(c.write("harbour.key", []byte(harbourKey)), c.entries[1],
		"approve", "--organisation", "harbour", proposal[1])
	assert.Equal(t, code, 0, out)
	c.fault(map[string]any{
		"kind": "team-limit", "team": "pricing", "limit": map[string]any{"tasks": limit}, "grace": configBound.String(),
	})
	within(t, configBound, "no more than the limit runs", func() bool { return count() <= limit })
	for watched := time.Now(); time.Since(watched) < watchTime; time.Sleep(pollInterval) {
		assert.Assert(t, count() <= limit, "%d tasks run", count())
	}
	c.checkAudit()
}
