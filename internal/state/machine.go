package state

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/record"
)

const (
	// maxClockStep bounds how far one envelope moves the record clock, so that a writer whose clock is far ahead
	// doesn't make the fold forget what it keeps for a time.
	maxClockStep = int64(time.Minute)
	// pruneInterval is the record time between two searches for what is kept too long.
	pruneInterval = int64(time.Hour)
)

// ApplyResult is the result of folding one envelope.
type ApplyResult struct {
	// Duplicate is set when the envelope repeats an earlier one; nothing was changed.
	Duplicate bool
	// Results holds one entry per operation: nil, or the reason for which it is void.
	Results []error
	Events  []Event
}

// Machine is the state machine; all methods are safe for concurrent use.
type Machine struct {
	cfg Config
	// folding admits one writer: Apply, Restore or the copying part of Snapshot.
	folding sync.Mutex
	current atomic.Pointer[data]
}

// data bundles the aggregates; Restore replaces all of them at once.
type data struct {
	offset  atomic.Int64
	decls   *declarations
	members *members
	workers *workers
	jobs    *jobs
	usages  *usages
	writers *writers
	learned *learned
	// clock is the record time: the largest time of an envelope so far, but for maxClockStep. It starts with the
	// first envelope.
	clock int64
}

func newData() *data {
	d := &data{
		decls: newDeclarations(), members: newMembers(), workers: newWorkers(), jobs: newJobs(),
		usages: newUsages(), writers: newWriters(), learned: newLearned(),
	}
	d.offset.Store(int64(model.NoOffset))
	return d
}

// fold is the work on one envelope.
type fold struct {
	*data
	cfg    *Config
	offset model.Offset
	env    record.Envelope
	// index is the place of the operation at hand.
	index  int
	events []Event
	// gangs holds the results of the gangs decided so far.
	gangs map[model.JobID]map[int]error
	// raised, touchedJobs and touchedWorkers are what the invariants are checked on.
	raised         map[model.TeamID]struct{}
	touchedJobs    map[model.JobID]struct{}
	touchedWorkers map[model.WorkerID]struct{}
}

// New returns a machine with an empty state; the error is ErrConfig.
func New(cfg Config) (*Machine, error) {
	cfg = cfg.WithDefaults()
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	m := &Machine{cfg: cfg}
	m.current.Store(newData())
	return m, nil
}

// Apply folds the envelope at offset; offsets must rise, and one that doesn't is a duplicate.
func (m *Machine) Apply(offset model.Offset, env record.Envelope) ApplyResult {
	m.folding.Lock()
	defer m.folding.Unlock()
	d := m.current.Load()
	if offset <= model.Offset(d.offset.Load()) {
		return ApplyResult{Duplicate: true}
	}
	// Readers see the offset only once the envelope is folded.
	defer d.offset.Store(int64(offset))
	if !d.writers.admit(env, d.clock) {
		return ApplyResult{Duplicate: true}
	}
	d.advance(env.Time, int64(m.cfg.IDRetention))
	f := &fold{
		data: d, cfg: &m.cfg, offset: offset, env: env,
		gangs:          make(map[model.JobID]map[int]error),
		raised:         make(map[model.TeamID]struct{}),
		touchedJobs:    make(map[model.JobID]struct{}),
		touchedWorkers: make(map[model.WorkerID]struct{}),
	}
	results := make([]error, len(env.Ops))
	for i, op := range env.Ops {
		f.index = i
		results[i] = f.apply(op)
	}
	f.checkTouched()
	f.emitWorkers()
	return ApplyResult{Results: results, Events: f.events}
}

func (f *fold) apply(op record.Op) error {
	switch op := op.(type) {
	case record.MemberJoined:
		return f.memberJoined(op)
	case record.MemberLeft:
		return f.memberLeft(op)
	case record.Change:
		return f.change(op)
	case record.Proposal:
		return f.proposal(op)
	case record.Verdict:
		return f.verdict(op)
	case record.JobAccepted:
		return f.jobAccepted(op)
	case record.JobCancelled:
		return f.jobCancelled(op)
	case record.JobRefused:
		return f.jobRefused(op)
	case record.WorkerSeen:
		return f.workerSeen(op)
	case record.WorkerSuspected:
		return f.workerSuspected(op)
	case record.WorkerCleared:
		return f.workerCleared(op)
	case record.WorkerLost:
		return f.workerLost(op)
	case record.Taken:
		return f.taken(op)
	case record.Pulled:
		return f.pulled(op)
	case record.Ended:
		return f.ended(op)
	case record.SnapshotPart:
		return nil
	default:
		return fmt.Errorf("%w: operation %T", ErrNotFound, op)
	}
}

// advance moves the record clock and forgets what is kept too long.
func (d *data) advance(now, keep int64) {
	before := d.clock
	if before == 0 {
		d.clock = now
		return
	}
	d.clock = max(before, min(now, before+maxClockStep))
	d.jobs.prune(d.clock - keep)
	if before/pruneInterval == d.clock/pruneInterval {
		return
	}
	d.members.prune(d.clock - keep)
	d.workers.prune(d.clock - keep)
	d.writers.prune(d.clock-keep, d.members)
}

func (f *fold) emit(event Event) { f.events = append(f.events, event) }

func (f *fold) touchJob(id model.JobID) { f.touchedJobs[id] = struct{}{} }

func (f *fold) touchWorker(id model.WorkerID) { f.touchedWorkers[id] = struct{}{} }

// emitWorkers reports each worker that the envelope changed once, in name order.
func (f *fold) emitWorkers() {
	for _, id := range sortedKeys(f.touchedWorkers) {
		if w, ok := f.workers.rows.get(id); ok {
			f.emit(WorkerChanged{Worker: w.copied()})
		}
	}
}

func sortedKeys[K cmp.Ordered, V any](rows map[K]V) []K {
	return slices.Sorted(maps.Keys(rows))
}
