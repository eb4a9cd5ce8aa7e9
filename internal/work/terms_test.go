package work

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/terms"
)

// TestQueueTermsSurviveTheirQueue guards against a job that goes on under other settings than it was accepted with.
func TestQueueTermsSurviveTheirQueue(t *testing.T) {
	tests := []terms.Queue{
		{Name: "plain", Pool: "p", Priority: 2, Attempts: 4, Stretch: 2.5, Latency: 3 * time.Second},
		{Name: "advised", Pool: "p", Attempts: 1, Advice: &terms.Advice{
			BaseTime: 500 * time.Millisecond, TimePerWorker: 7 * time.Millisecond, TicketValidity: 2 * time.Second,
		}},
	}
	for _, queue := range tests {
		job := validJob
		job.QueueTerms = NewQueueTerms(queue)
		value, err := job.Encode()
		assert.NilError(t, err)
		got, err := DecodeJob(value)
		assert.NilError(t, err)
		assert.DeepEqual(t, got.QueueTerms.Queue(queue.Name), queue)
	}
}

// TestOddQueueTermsAreRefused guards against times that overflow once they are added up.
func TestOddQueueTermsAreRefused(t *testing.T) {
	tests := []struct {
		name  string
		terms QueueTerms
	}{
		{"negative attempts", QueueTerms{Attempts: -1}},
		{"negative latency", QueueTerms{Latency: -1}},
		{"endless latency", QueueTerms{Latency: model.Duration(2 * maxRunTime)}},
		{"endless advice", QueueTerms{Advice: &AdviceTerms{BaseTime: model.Duration(2 * maxRunTime)}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			job := validJob
			job.QueueTerms = &tt.terms
			assert.Assert(t, errors.Is(job.Validate(), ErrInvalidJob))
		})
	}
}
