package story

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// sampleLog holds lines of an owner, edge-2, whose clock lags by two seconds and jumps forward before the last line.
const sampleLog = `   18.4070 edge-2 ts=2026-06-12T20:43:08.406Z level=info msg="ownership won" node=edge-2 epoch=59
ts=2026-06-12T20:43:10.500Z level=info msg="job submitted" node=edge-1 job=ab12 queue=q team=t config-version=31 took=100ms outcome="refused: store unavailable"
ts=2026-06-12T20:43:11.500Z level=info msg="job submitted" node=edge-1 job=ab12 queue=q team=t config-version=31 took=20ms outcome=accepted
ts=2026-06-12T20:43:09.490Z level=info msg=job-taken node=edge-2 epoch=59 job=ab12 detail=q value=3
ts=2026-06-12T20:43:09.500Z level=info msg=run-bound node=edge-2 epoch=59 job=ab12 task=ab12/0/0/0 worker=w1 value=1
ts=2026-06-12T20:43:09.510Z level=info msg=run-bound node=edge-2 epoch=59 job=other task=other/0/0/0 worker=w1 value=1
goroutine 7 [running]:
ts=2026-06-12T20:43:09.520Z level=info msg="cut
ts=2026-06-12T20:43:15.510Z level=info msg=job-completed node=edge-2 epoch=59 job=ab12 detail=q value=1010
`

// TestWriteHistory guards against a history in the wrong order, with lines of other jobs, or without the number of skipped
// lines.
func TestWriteHistory(t *testing.T) {
	var log Log
	assert.NilError(t, log.Read(strings.NewReader(sampleLog)))
	assert.Equal(t, log.Skipped, 2)
	tests := []struct {
		name   string
		around time.Duration
		want   []string
	}{
		{"one job", 0, []string{
			"     +0.000s edge-1               job submitted queue=q team=t config-version=31 took=100ms outcome=refused: store unavailable",
			"     +0.980s edge-2               job-taken epoch=59 detail=q value=3",
			"     +0.990s edge-2               run-bound epoch=59 task=ab12/0/0/0 worker=w1 value=1",
			"     +1.000s edge-1               job submitted queue=q team=t config-version=31 took=20ms outcome=accepted",
			"     +7.000s edge-2               job-completed epoch=59 detail=q value=1010",
			"5 of 7 lines shown, 2 skipped",
			"the clock of edge-2 is assumed to be 1.99s behind",
		}},
		{"with lines of no job", time.Second, []string{
			"~    -0.104s edge-2               ownership won epoch=59",
			"     +0.000s edge-1               job submitted queue=q team=t config-version=31 took=100ms outcome=refused: store unavailable",
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var out strings.Builder
			assert.NilError(t, log.WriteHistory(&out, "ab12", test.around))
			got := strings.Split(strings.TrimRight(out.String(), "\n"), "\n")
			assert.DeepEqual(t, got[:min(len(got), len(test.want))], test.want)
		})
	}
	assert.ErrorIs(t, log.WriteHistory(&strings.Builder{}, "nobody", 0), ErrNoLine)
}

// TestLongLine guards against a state dump that is skipped because of the length of its line.
func TestLongLine(t *testing.T) {
	var log Log
	contents := strings.Repeat("x", 1<<20)
	line := `ts=2026-06-12T20:43:08.406Z level=info msg="state dump" node=n contents=` + contents + "\n"
	assert.NilError(t, log.Read(strings.NewReader(line)))
	assert.Equal(t, log.Skipped, 0)
	assert.Equal(t, log.Lines[0].Get("contents"), contents)
}
