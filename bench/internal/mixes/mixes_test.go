package mixes_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"arbutuswing.example/bench/internal/mixes"
	"arbutuswing.example/internal/model"
)

// Guards against results that cannot be reproduced from the seed, and against actual usage that differs from the
// declared one by more than MaxErrorFactor.
func TestNew(t *testing.T) {
	centres := []model.DataCentreID{"dc1"}
	mix := mixes.New(7, centres, 3_200, 0.1)
	assert.DeepEqual(t, mix.Jobs, mixes.New(7, centres, 3_200, 0.1).Jobs)
	other := mixes.New(8, centres, 3_200, 0.1)
	assert.Assert(t, len(other.Jobs) != len(mix.Jobs) || other.CoreSeconds != mix.CoreSeconds)
	classes := make(map[model.ClassID]bool)
	for _, job := range mix.Jobs {
		classes[job.Spec.Class] = true
		assert.Equal(t, len(job.Tasks), job.Spec.Tasks, job.Spec.ID)
		for _, usage := range job.Tasks {
			factor := float64(usage.RunTime) / float64(job.Spec.RunTime)
			assert.Assert(t, factor >= 0.999/mixes.MaxErrorFactor && factor <= 1.001*mixes.MaxErrorFactor,
				"%s runs %g times as long", job.Spec.ID, factor)
			factor = float64(usage.Peak.Cores) / float64(job.Spec.Size.Cores)
			assert.Assert(t, factor >= 0.999/mixes.MaxErrorFactor && factor <= 1.001*mixes.MaxErrorFactor,
				"%s uses %g times the cores", job.Spec.ID, factor)
		}
	}
	assert.Equal(t, len(classes), len(mixes.Classes))
}
