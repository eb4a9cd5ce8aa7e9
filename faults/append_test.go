package faults

import "testing"

// TestAppendAnswersLost guards no-loss against a slow log that loses answers after appends took effect: a retry could
// record a job twice, and a caller could be told that a recorded job was refused.
func TestAppendAnswersLost(t *testing.T) {
	t.Parallel()
	c := newCluster(t, layout{entries: 2, workers: 4})
	slow := c.fault(map[string]any{"kind": "log-slow", "delay": "50ms"})
	lossy := c.fault(map[string]any{"kind": "append-answer-lost", "probability": 0.5})
	jobs := batches("load", 200, 1, "100ms")
	c.submitAll(jobs)
	c.awaitDone(jobs)
	slow()
	lossy()
}
