package daemon

import (
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"
)

// TestRegistryViewLeavesOutOddEntries guards against an odd entry that hides the others, or that is logged each time the
// registry is read.
func TestRegistryViewLeavesOutOddEntries(t *testing.T) {
	const valid = `{"service":"s","address":"10.0.0.1:80","state":"ready","capacity":{"cpu":1}}`
	core, logged := observer.New(zapcore.WarnLevel)
	view := newRegistryView(zap.New(core))
	steps := []struct {
		name    string
		records map[string][]byte
		entries int
		logged  int
	}{
		{"valid and odd", map[string][]byte{"a": []byte(valid), "odd": []byte("[")}, 1, 1},
		{"unchanged", map[string][]byte{"a": []byte(valid), "odd": []byte("[")}, 1, 1},
		{"another joins", map[string][]byte{"a": []byte(valid), "odd": []byte("["), "b": []byte(valid)}, 2, 1},
		{"odd in another way", map[string][]byte{"a": []byte(valid), "odd": []byte("{}"), "b": []byte(valid)}, 2, 2},
		{"mended", map[string][]byte{"a": []byte(valid), "odd": []byte(valid), "b": []byte(valid)}, 3, 2},
		{"removed", map[string][]byte{"b": []byte(valid)}, 1, 2},
		{"valid one turns odd", map[string][]byte{"b": []byte("null")}, 0, 3},
	}
	for _, step := range steps {
		assert.Equal(t, len(view.update(step.records)), step.entries, step.name)
		assert.Equal(t, logged.Len(), step.logged, step.name)
	}
	assert.Equal(t, len(view.decoded), 1)
}
