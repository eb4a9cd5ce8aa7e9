package owner

import (
	"strings"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/ledger"
	"arbutuswing.example/internal/shard"
	"arbutuswing.example/internal/work"
)

// TestProgressRecordFitsStore guards against a record that the store refuses whenever it is written, which ends the ownership
// of each owner in turn. The tasks' runs must be recorded in any case.
func TestProgressRecordFitsStore(t *testing.T) {
	tests := []struct {
		name            string
		checkpointBytes int
		kept            bool
	}{
		{"usual checkpoints", 32, true},
		{"checkpoints over the limit", 8 << 10, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := shard.JobProgress{ID: "j", Part: 1}
			for i := range 64 {
				p.Progress.Tasks = append(p.Progress.Tasks, work.TaskProgress{
					Index: i, LastRun: 1, Checkpoint: strings.Repeat("c", tt.checkpointBytes),
					Bindings: []work.Binding{{Run: 1, Worker: "w", Incarnation: 1}},
				})
			}
			ow := &ownership{cfg: Config{Log: zap.NewNop()}}
			record, err := ow.progressRecord(p)
			assert.NilError(t, err)
			assert.Assert(t, record.Size() <= ledger.MaxRecordBytes)
			got, err := work.DecodeProgress(record.Value)
			assert.NilError(t, err)
			for _, task := range got.Tasks {
				assert.Equal(t, len(task.Bindings), 1)
				assert.Equal(t, task.Checkpoint != "", tt.kept)
			}
		})
	}
}
