package lease

import (
	"context"
	"sync"
	"time"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/policy"
	"arbutuswing.example/internal/record"
	"arbutuswing.example/internal/state"
)

// remoteWorkers tracks the workers of other data centres. This instance suspects them only if their data centre is
// declared lost, or has not been heard from for longer than the isolation limit.
type remoteWorkers struct {
	mu       sync.Mutex
	workers  map[model.WorkerID]*remoteWorker
	services map[model.DataCentreID]decl.ServiceState
	// goneSince is the time since which a data centre has been declared lost or isolated.
	goneSince map[model.DataCentreID]time.Time
}

// remoteWorker is a worker of another data centre; its fields are as in workerLease.
type remoteWorker struct {
	recorded   state.Worker
	suspicion  suspicion
	submitting bool
	retryAt    time.Time
}

func newRemoteWorkers() *remoteWorkers {
	return &remoteWorkers{
		workers: make(map[model.WorkerID]*remoteWorker), services: make(map[model.DataCentreID]decl.ServiceState),
		goneSince: make(map[model.DataCentreID]time.Time),
	}
}

func (rw *remoteWorkers) setDeclarations(set decl.Set) {
	rw.mu.Lock()
	defer rw.mu.Unlock()
	clear(rw.services)
	for _, dc := range set.DataCentres {
		rw.services[dc.Name] = dc.Service
	}
}

func (rw *remoteWorkers) setRecorded(w state.Worker, now time.Time) {
	rw.mu.Lock()
	defer rw.mu.Unlock()
	r := rw.workers[w.ID]
	if r == nil {
		r = &remoteWorker{recorded: state.Worker{Suspicion: model.NoOffset}, suspicion: suspicion{own: model.NoOffset}}
		rw.workers[w.ID] = r
	}
	r.suspicion.update(r.recorded, w, now)
	r.recorded = w
}

// checkRemote suspects the workers of data centres that are lost or isolated, and records their loss.
func (m *Manager) checkRemote(ctx context.Context) {
	since, connected := m.deps.Links.ConnectedSince()
	if ctx.Err() != nil || !connected || !m.deps.Links.IsPlacer() {
		return
	}
	now := m.deps.Clock.Now()
	rw := m.remote
	rw.mu.Lock()
	defer rw.mu.Unlock()
	rw.updateGone(m.deps.Links, now)
	for id, r := range rw.workers {
		if r.submitting || now.Before(r.retryAt) || !m.maySuspect(r.recorded, now) {
			continue
		}
		op := m.cfg.opIfSilent(r.recorded, r.suspicion, now, since)
		if op == nil {
			continue
		}
		r.submitting, r.retryAt = true, now.Add(recordRetry)
		if _, ok := op.(record.WorkerSuspected); ok {
			r.suspicion.previous, r.suspicion.accepted = r.recorded.Suspicion, false
		}
		m.outbox.add(pendingOp{op: op, done: rw.opDone, id: id})
	}
}

// updateGone updates goneSince. The caller holds the lock.
func (rw *remoteWorkers) updateGone(links Links, now time.Time) {
	for dc, service := range rw.services {
		if service != decl.Lost && !links.Isolated(dc) {
			delete(rw.goneSince, dc)
		} else if _, ok := rw.goneSince[dc]; !ok {
			rw.goneSince[dc] = now
		}
	}
}

// maySuspect reports whether this data centre's placer should suspect the worker. The first data centre in rendezvous
// order does so at once; each further one only after those before it had time to record the loss, so that they don't
// replace each other's suspicions.
func (m *Manager) maySuspect(w state.Worker, now time.Time) bool {
	since, gone := m.remote.goneSince[w.DataCentre]
	if !gone || w.Lost {
		return false
	}
	var centres []model.DataCentreID
	for dc, service := range m.remote.services {
		if service == decl.InService && dc != w.DataCentre {
			centres = append(centres, dc)
		}
	}
	order := policy.Rank(model.TaskID{Job: model.JobID(w.ID)}, model.JobSpec{}, centres)
	for rank, dc := range order {
		if dc == m.cfg.DataCentre {
			return now.Sub(since) >= time.Duration(rank)*2*m.cfg.lossDelay()
		}
	}
	return false
}

// opDone notes the result of an operation about a worker.
func (rw *remoteWorkers) opDone(p pendingOp, err error) {
	rw.mu.Lock()
	defer rw.mu.Unlock()
	r := rw.workers[p.id]
	r.submitting = false
	if _, ok := p.op.(record.WorkerSuspected); ok && err == nil {
		r.suspicion.accepted = true
		r.suspicion.resolveOwn(r.recorded)
	}
}
