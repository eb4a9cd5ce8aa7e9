package faults

import "testing"

// TestAppendAnswersLost guards the invariant no-loss against a slow log that loses answers of appends that took effect. The
// retry of such an append could record a job twice, and a client could be told that a recorded job was refused.
func TestAppendAnswersLost(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{entries: 2, workers: 4})
	clearSlow := c.fault(map[string]any{"kind": "log-slow", "delay": "50ms"})
	clearLost := c.fault(map[string]any{"kind": "append-answer-lost", "probability": 0.5})
	jobs := batches("load", 200, 1, "100ms")
	c.submitAll(jobs)
	c.awaitDone(jobs)
	clearSlow()
	clearLost()
}
