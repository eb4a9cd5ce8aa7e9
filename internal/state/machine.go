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
	// maxClockStep bounds how far one envelope advances the log clock. Otherwise a writer whose clock is far ahead
	// would make all entries older than the retention period vanish at once.
	maxClockStep = int64(time.Minute)
	// pruneInterval is the log time between two passes that remove expired members, workers and writers.
	pruneInterval = int64(time.Hour)
)

// ApplyResult is the result of applying one envelope.
type ApplyResult struct {
	// Duplicate is set if the envelope repeats an earlier one, or is of an older incarnation; it changed nothing.
	Duplicate bool
	// Results holds one entry per operation: nil, or the reason for which the operation was rejected.
	Results []error
	Events  []Event
}

// Machine is the replicated state machine. All methods are safe for concurrent use.
type Machine struct {
	cfg Config
	// applyMu is held by Apply, Restore and StateEvents, by CheckInvariants, and by Snapshot while it copies the state.
	applyMu sync.Mutex
	current atomic.Pointer[stateData]
}

// stateData is the whole state of a machine. Restore replaces it with a single pointer store.
type stateData struct {
	offset   atomic.Int64
	decls    *declarations
	members  *members
	workers  *workers
	jobs     *jobs
	usages   *usages
	writers  *writers
	profiles *profiles
	// clock is the log clock in nanoseconds since 1970: the largest timestamp of an envelope so far, limited by
	// maxClockStep per envelope. It is zero before the first envelope.
	clock int64
}

func newStateData() *stateData {
	d := &stateData{
		decls: newDeclarations(), members: newMembers(), workers: newWorkers(), jobs: newJobs(),
		usages: newUsages(), writers: newWriters(), profiles: newProfiles(),
	}
	d.offset.Store(int64(model.NoOffset))
	return d
}

// applier applies one envelope.
type applier struct {
	*stateData
	cfg    *Config
	offset model.Offset
	env    record.Envelope
	// opIndex is the index in the envelope of the operation being applied.
	opIndex int
	events  []Event
	// gangResults holds, by operation index, the results of the gangs decided so far.
	gangResults map[model.JobID]map[int]error
	// raisedTeams (teams whose usage rose), changedJobs and changedWorkers are what checkChanged checks.
	raisedTeams    map[model.TeamID]struct{}
	changedJobs    map[model.JobID]struct{}
	changedWorkers map[model.WorkerID]struct{}
}

// New returns a machine with an empty state. The error is ErrConfig.
func New(cfg Config) (*Machine, error) {
	cfg = cfg.WithDefaults()
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	m := &Machine{cfg: cfg}
	m.current.Store(newStateData())
	return m, nil
}

// Apply applies the envelope at offset. Offsets must increase; an envelope at an offset that is not larger than the
// last one is a duplicate.
func (m *Machine) Apply(offset model.Offset, env record.Envelope) ApplyResult {
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	d := m.current.Load()
	if offset <= model.Offset(d.offset.Load()) {
		return ApplyResult{Duplicate: true}
	}
	// Readers see the new offset only after the whole envelope has been applied.
	defer d.offset.Store(int64(offset))
	if !d.writers.admit(env, d.clock) {
		return ApplyResult{Duplicate: true}
	}
	d.advanceClock(env.Time, int64(m.cfg.IDRetention))
	a := &applier{
		stateData: d, cfg: &m.cfg, offset: offset, env: env,
		gangResults:    make(map[model.JobID]map[int]error),
		raisedTeams:    make(map[model.TeamID]struct{}),
		changedJobs:    make(map[model.JobID]struct{}),
		changedWorkers: make(map[model.WorkerID]struct{}),
	}
	results := make([]error, len(env.Ops))
	for i, op := range env.Ops {
		a.opIndex = i
		results[i] = a.applyOp(op)
	}
	a.checkChanged()
	a.emitWorkers()
	return ApplyResult{Results: results, Events: a.events}
}

// applyOp applies one operation and returns the reason if it is rejected.
func (a *applier) applyOp(op record.Op) error {
	switch op := op.(type) {
	case record.MemberJoined:
		return a.applyMemberJoined(op)
	case record.MemberLeft:
		return a.applyMemberLeft(op)
	case record.Change:
		return a.applyChange(op)
	case record.Proposal:
		return a.applyProposal(op)
	case record.Verdict:
		return a.applyVerdict(op)
	case record.JobAccepted:
		return a.applyJobAccepted(op)
	case record.JobCancelled:
		return a.applyJobCancelled(op)
	case record.JobRefused:
		return a.applyJobRefused(op)
	case record.WorkerSeen:
		return a.applyWorkerSeen(op)
	case record.WorkerSuspected:
		return a.applyWorkerSuspected(op)
	case record.WorkerCleared:
		return a.applyWorkerCleared(op)
	case record.WorkerLost:
		return a.applyWorkerLost(op)
	case record.Taken:
		return a.applyTaken(op)
	case record.Pulled:
		return a.applyPulled(op)
	case record.Ended:
		return a.applyEnded(op)
	case record.SnapshotPart:
		return nil
	default:
		return fmt.Errorf("%w: operation %T", ErrNotFound, op)
	}
}

// advanceClock advances the log clock and removes what is older than the retention period keep, in nanoseconds.
func (d *stateData) advanceClock(now, keep int64) {
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

func (a *applier) emit(event Event) { a.events = append(a.events, event) }

func (a *applier) markJobChanged(id model.JobID) { a.changedJobs[id] = struct{}{} }

func (a *applier) markWorkerChanged(id model.WorkerID) { a.changedWorkers[id] = struct{}{} }

// emitWorkers emits one event for each worker that the envelope changed, in name order.
func (a *applier) emitWorkers() {
	for _, id := range sortedKeys(a.changedWorkers) {
		if w, ok := a.workers.rows.get(id); ok {
			a.emit(WorkerChanged{Worker: w.clone()})
		}
	}
}

func sortedKeys[K cmp.Ordered, V any](rows map[K]V) []K {
	return slices.Sorted(maps.Keys(rows))
}
