package mixes_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"arbutuswing.example/bench/internal/mixes"
	"arbutuswing.example/internal/model"
)

// Guards against results that can't be repeated, and against needs that are off by more than the mix promises.
func TestNew(t *testing.T) {
	centres := []model.DataCentreID{"dc1"}
	mix := mixes.New(7, centres, 3_200, 0.1)
	assert.DeepEqual(t, mix.Jobs, mixes.New(7, centres, 3_200, 0.1).Jobs)
	other := mixes.New(8, centres, 3_200, 0.1)
	assert.Assert(t, len(other.Jobs) != len(mix.Jobs) || other.Work != mix.Work)
	classes := make(map[model.ClassID]bool)
	for _, job := range mix.Jobs {
		classes[job.Spec.Class] = true
		assert.Equal(t, len(job.Tasks), job.Spec.Tasks, job.Spec.ID)
		for _, need := range job.Tasks {
			off := float64(need.RunTime) / float64(job.Spec.RunTime)
			assert.Assert(t, off >= 0.999/mixes.MaxFactor && off <= 1.001*mixes.MaxFactor, "%s runs %g times as long", job.Spec.ID, off)
			off = float64(need.Peak.Cores) / float64(job.Spec.Size.Cores)
			assert.Assert(t, off >= 0.999/mixes.MaxFactor && off <= 1.001*mixes.MaxFactor, "%s uses %g times the cores", job.Spec.ID, off)
		}
	}
	assert.Equal(t, len(classes), len(mixes.Classes))
}
