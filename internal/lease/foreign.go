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

// foreign follows the workers of other data centres, which this instance suspects only if their data centre is declared
// lost or was not heard from for the isolation limit.
type foreign struct {
	mu      sync.Mutex
	workers map[model.WorkerID]*distant
	centres map[model.DataCentreID]decl.Service
	// gone holds since when a data centre counts as gone.
	gone map[model.DataCentreID]time.Time
}

// distant is a worker of another data centre.
type distant struct {
	known     state.Worker
	suspect   suspicion
	recording bool
	retry     time.Time
}

func newForeign() *foreign {
	return &foreign{
		workers: make(map[model.WorkerID]*distant), centres: make(map[model.DataCentreID]decl.Service),
		gone: make(map[model.DataCentreID]time.Time),
	}
}

func (f *foreign) declare(set decl.Set) {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.centres)
	for _, dc := range set.DataCentres {
		f.centres[dc.Name] = dc.Service
	}
}

func (f *foreign) learn(w state.Worker, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.workers[w.ID]
	if d == nil {
		d = &distant{known: state.Worker{Suspicion: model.NoOffset}, suspect: suspicion{own: model.NoOffset}}
		f.workers[w.ID] = d
	}
	d.suspect.learn(d.known, w, now)
	d.known = w
}

// checkForeign suspects the workers of data centres that are gone, and records their loss.
func (m *Manager) checkForeign(ctx context.Context) {
	since, connected := m.deps.Links.ConnectedSince()
	if ctx.Err() != nil || !connected || !m.deps.Links.IsPlacer() {
		return
	}
	now := m.deps.Clock.Now()
	f := m.away
	f.mu.Lock()
	defer f.mu.Unlock()
	f.findGone(m.deps.Links, now)
	for id, d := range f.workers {
		if d.recording || now.Before(d.retry) || !m.mayJudge(d.known, now) {
			continue
		}
		op := m.cfg.silent(d.known, d.suspect, now, since)
		if op == nil {
			continue
		}
		d.recording, d.retry = true, now.Add(recordRetry)
		if _, ok := op.(record.WorkerSuspected); ok {
			d.suspect.before, d.suspect.accepted = d.known.Suspicion, false
		}
		m.out.put(entry{op: op, done: f.recorded, id: id})
	}
}

// findGone brings up to date which data centres are gone; the lock is held.
func (f *foreign) findGone(links Links, now time.Time) {
	for dc, service := range f.centres {
		if service != decl.Lost && !links.Isolated(dc) {
			delete(f.gone, dc)
		} else if _, ok := f.gone[dc]; !ok {
			f.gone[dc] = now
		}
	}
}

// mayJudge reports whether this data centre's placer is to suspect the worker: the first in rendezvous order does so at
// once, each other one only after those before it had the time to finish, so that they don't replace each other's
// suspicions.
func (m *Manager) mayJudge(w state.Worker, now time.Time) bool {
	since, gone := m.away.gone[w.DataCentre]
	if !gone || w.Lost {
		return false
	}
	var centres []model.DataCentreID
	for dc, service := range m.away.centres {
		if service == decl.InService && dc != w.DataCentre {
			centres = append(centres, dc)
		}
	}
	order := policy.Rank(model.TaskID{Job: model.JobID(w.ID)}, model.JobSpec{}, centres)
	for rank, dc := range order {
		if dc == m.cfg.DataCentre {
			return now.Sub(since) >= time.Duration(rank)*2*m.cfg.lossWait()
		}
	}
	return false
}

func (f *foreign) recorded(e entry, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.workers[e.id]
	d.recording = false
	if _, ok := e.op.(record.WorkerSuspected); ok && err == nil {
		d.suspect.accepted = true
		d.suspect.settle(d.known)
	}
}
