package work

import (
	"fmt"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/terms"
)

// QueueTerms are the settings of its queue under which a job was accepted. They apply once the queue has been removed.
type QueueTerms struct {
	Pool     string         `json:"pool"`
	Priority int            `json:"priority,omitempty"`
	Attempts int            `json:"attempts,omitempty"`
	Stretch  float64        `json:"stretch,omitempty"`
	Latency  model.Duration `json:"latency,omitempty"`
	// Advice is nil if every worker of the pool may run the job's tasks without advice.
	Advice *AdviceTerms `json:"advice,omitempty"`
}

// AdviceTerms are the times of the advice service's calls and tickets for a queue.
type AdviceTerms struct {
	BaseTime       model.Duration `json:"base-time,omitempty"`
	TimePerWorker  model.Duration `json:"time-per-worker,omitempty"`
	TicketValidity model.Duration `json:"ticket-validity,omitempty"`
}

// NewQueueTerms returns the settings of a queue that a job keeps.
func NewQueueTerms(q terms.Queue) *QueueTerms {
	t := &QueueTerms{
		Pool: q.Pool, Priority: q.Priority, Attempts: q.Attempts, Stretch: q.Stretch, Latency: model.Duration(q.Latency),
	}
	if a := q.Advice; a != nil {
		t.Advice = &AdviceTerms{model.Duration(a.BaseTime), model.Duration(a.TimePerWorker), model.Duration(a.TicketValidity)}
	}
	return t
}

// Queue returns the queue with these settings and no route.
func (t *QueueTerms) Queue(name string) terms.Queue {
	q := terms.Queue{
		Name: name, Pool: t.Pool, Priority: t.Priority, Attempts: t.Attempts, Stretch: t.Stretch, Latency: t.Latency.Std(),
	}
	if a := t.Advice; a != nil {
		q.Advice = &terms.Advice{
			BaseTime: a.BaseTime.Std(), TimePerWorker: a.TimePerWorker.Std(), TicketValidity: a.TicketValidity.Std(),
		}
	}
	return q
}

func (t *QueueTerms) validate() error {
	if t.Attempts < 0 || t.Stretch < 0 || t.Latency < 0 || t.Latency.Std() > maxRunTime {
		return fmt.Errorf("%w: terms of its queue out of range", ErrInvalidJob)
	}
	if a := t.Advice; a != nil && (a.BaseTime < 0 || a.TimePerWorker < 0 || a.TicketValidity < 0 ||
		a.BaseTime.Std() > maxRunTime || a.TimePerWorker.Std() > maxRunTime || a.TicketValidity.Std() > maxRunTime) {
		return fmt.Errorf("%w: terms of its advice out of range", ErrInvalidJob)
	}
	return nil
}
