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

// submitTimeout bounds the wait for the results of submitted operations.
const submitTimeout = 10 * time.Second

// pendingOp is an operation about a worker that has not been submitted, or whose result is not known yet.
type pendingOp struct {
	op   record.Op
	id   model.WorkerID
	done func(pendingOp, error)
}

// outbox collects operations so that they are submitted together: the loss of a whole rack costs one append. It holds
// at most one operation per worker.
type outbox struct {
	wake chan struct{}

	mu      sync.Mutex
	pending []pendingOp
}

func (o *outbox) add(p pendingOp) {
	o.mu.Lock()
	o.pending = append(o.pending, p)
	o.mu.Unlock()
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

func (o *outbox) drain() []pendingOp {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := o.pending
	o.pending = nil
	return out
}

// runOutbox submits the collected operations until ctx ends.
func (m *Manager) runOutbox(ctx context.Context, done *sync.WaitGroup) {
	defer done.Done()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.outbox.wake:
			m.flush(ctx)
		}
	}
}

// flush submits the collected operations and passes each its result.
func (m *Manager) flush(ctx context.Context) {
	pending := m.outbox.drain()
	if len(pending) == 0 {
		return
	}
	ops := make([]record.Op, len(pending))
	for i, p := range pending {
		ops[i] = p.op
		metrics.GetOrCreateCounter(`aw_lease_ops_total{kind="` + string(record.KindOf(p.op)) + `"}`).Inc()
		m.deps.Log.Info("recording a worker's state", zap.String("worker", string(p.id)),
			zap.String("operation", string(record.KindOf(p.op))))
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	results, err := m.deps.Submit.Submit(ctx, ops...)
	for i, p := range pending {
		result := err
		if err == nil {
			result = results[i]
		}
		if result != nil {
			m.deps.Log.Info("operation had no effect", zap.String("worker", string(p.id)),
				zap.String("operation", string(record.KindOf(p.op))), zap.Error(result))
		}
		p.done(p, result)
	}
}
