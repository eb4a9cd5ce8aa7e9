package lease

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/record"
)

// submitTimeout bounds the wait for the result of operations about workers.
const submitTimeout = 10 * time.Second

// entry is an operation about a worker on its way to the log.
type entry struct {
	op   record.Op
	id   model.WorkerID
	done func(entry, error)
}

// outbox gathers operations so that the loss of a rack costs one append; it is bounded by one entry per worker.
type outbox struct {
	wake chan struct{}

	mu      sync.Mutex
	entries []entry
}

func (o *outbox) put(e entry) {
	o.mu.Lock()
	o.entries = append(o.entries, e)
	o.mu.Unlock()
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

func (o *outbox) take() []entry {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := o.entries
	o.entries = nil
	return out
}

// runOutbox submits what the shards gathered until ctx ends.
func (m *Manager) runOutbox(ctx context.Context, done *sync.WaitGroup) {
	defer done.Done()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.out.wake:
			m.flush(ctx)
		}
	}
}

// flush submits the gathered operations and hands their results back.
func (m *Manager) flush(ctx context.Context) {
	entries := m.out.take()
	if len(entries) == 0 {
		return
	}
	ops := make([]record.Op, len(entries))
	for i, e := range entries {
		ops[i] = e.op
		metrics.GetOrCreateCounter(`aw_lease_ops_total{kind="` + string(record.KindOf(e.op)) + `"}`).Inc()
		m.deps.Log.Info("recording a worker's state", zap.String("worker", string(e.id)),
			zap.String("operation", string(record.KindOf(e.op))))
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	results, err := m.deps.Submit.Submit(ctx, ops...)
	for i, e := range entries {
		result := err
		if err == nil {
			result = results[i]
		}
		if result != nil {
			m.deps.Log.Info("operation had no effect", zap.String("worker", string(e.id)),
				zap.String("operation", string(record.KindOf(e.op))), zap.Error(result))
		}
		e.done(e, result)
	}
}
