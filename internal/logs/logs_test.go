package logs

import (
	"bytes"
	"strings"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// TestValuesOfAnyKind guards against a log value that ends the process: the logfmt encoder panics on slices.
func TestValuesOfAnyKind(t *testing.T) {
	tests := []struct {
		name  string
		field zap.Field
		want  string
	}{
		{"slice", zap.Any("value", []struct{ A int }{{1}}), "{A:1}"},
		{"named slice", zap.Reflect("value", []string{"a", "b"}), "a b"},
		{"map", zap.Any("value", map[string]int{"a": 1}), "a:1"},
		{"nil", zap.Any("value", nil), "value="},
		{"text", zap.String("value", "a b"), `value="a b"`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var out bytes.Buffer
			log, err := New(&out, "info")
			assert.NilError(t, err)
			log.Info("event", test.field)
			log.With(test.field).Info("event")
			assert.Equal(t, strings.Count(out.String(), "\n"), 2)
			assert.Equal(t, strings.Count(out.String(), test.want), 2, "%s", out.String())
		})
	}
}

// TestUnknownLevel guards against a logger that accepts an unknown level.
func TestUnknownLevel(t *testing.T) {
	_, err := New(&bytes.Buffer{}, "loud")
	assert.ErrorContains(t, err, "parsing log level")
}
