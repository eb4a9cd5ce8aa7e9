package state

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/klauspost/compress/zstd"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/invar"
	"arbutuswing.example/internal/model"
)

// Errors of Restore.
var (
	// ErrOldSnapshot reports a snapshot whose offset is lower than the machine's own.
	ErrOldSnapshot = errors.New("snapshot is older than the state")
	// ErrBadSnapshot reports data that is not a valid snapshot of this version.
	ErrBadSnapshot = errors.New("malformed snapshot")
)

const (
	// snapshotVersion is the version of the encoding.
	snapshotVersion = 1
	// maxSnapshotSize bounds the memory in bytes for decompressing a snapshot, in case it is damaged.
	maxSnapshotSize = 1 << 30
)

// snapshot is the encoding of a state. Sums that can be derived from the tasks are left out.
type snapshot struct {
	Version      int                             `json:"version"`
	Offset       model.Offset                    `json:"offset"`
	Clock        int64                           `json:"clock"`
	Declarations decl.Set                        `json:"declarations"`
	InForce      model.Offset                    `json:"in-force"`
	Proposals    map[string]proposal             `json:"proposals"`
	Members      []Member                        `json:"members"`
	Changed      model.Offset                    `json:"members-changed"`
	Left         map[model.InstanceID]leftMember `json:"left"`
	Writers      map[model.InstanceID]writer     `json:"writers"`
	Workers      map[model.WorkerID]worker       `json:"workers"`
	Jobs         []*job                          `json:"jobs"`
	NextJob      int64                           `json:"next-job"`
	Done         []model.JobID                   `json:"done"`
	Finished     []archivedJob                   `json:"finished"`
	Learned      []profileUsage                  `json:"learned"`
}

// Snapshot encodes the whole state; equal states have equal encodings. Apply has to wait only while the state is
// copied.
func (m *Machine) Snapshot() ([]byte, error) {
	plain, err := json.Marshal(m.copyState())
	if err != nil {
		return nil, fmt.Errorf("encoding the snapshot: %w", err)
	}
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, fmt.Errorf("compressing the snapshot: %w", err)
	}
	return encoder.EncodeAll(plain, nil), nil
}

func (m *Machine) copyState() snapshot {
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	return m.current.Load().copyState()
}

func (d *stateData) copyState() snapshot {
	list, changed := d.members.list()
	s := snapshot{
		Version: snapshotVersion, Offset: model.Offset(d.offset.Load()), Clock: d.clock,
		Declarations: d.decls.set, InForce: d.decls.offset,
		Proposals: make(map[string]proposal, len(d.decls.proposals)),
		Members:   list, Changed: changed, Left: maps.Clone(d.members.left),
		Writers: maps.Clone(d.writers.rows), Workers: make(map[model.WorkerID]worker),
		NextJob: d.jobs.nextNumber, Done: slices.Clone(d.jobs.recentlyFinished),
		Finished: slices.Clone(d.jobs.archived), Learned: d.profiles.list(),
	}
	for id, p := range d.decls.proposals {
		s.Proposals[id] = *p
	}
	d.workers.rows.each(func(id model.WorkerID, w *worker) {
		row := *w
		row.Worker = w.clone()
		s.Workers[id] = row
	})
	for _, j := range d.jobs.ordered() {
		if !j.Finished() {
			row := *j
			row.Job = j.clone()
			j = &row
		}
		s.Jobs = append(s.Jobs, j)
	}
	return s
}

// Restore replaces the state by a snapshot of the same or a higher offset, and returns events that describe the whole
// new state. On ErrOldSnapshot and ErrBadSnapshot the state is unchanged.
func (m *Machine) Restore(encoded []byte) ([]Event, error) {
	s, err := decodeSnapshot(encoded)
	if err != nil {
		return nil, err
	}
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	old := m.current.Load()
	if own := model.Offset(old.offset.Load()); s.Offset < own {
		return nil, fmt.Errorf("%w: offset %d, own offset %d", ErrOldSnapshot, s.Offset, own)
	}
	d, err := s.load()
	if err != nil {
		return nil, err
	}
	m.cfg.Invariants.Check(invar.ConfigForward, d.decls.offset >= old.decls.offset,
		"snapshot has declarations of offset %d, in force are those of %d", d.decls.offset, old.decls.offset)
	m.current.Store(d)
	return d.stateEvents(), nil
}

func decodeSnapshot(encoded []byte) (snapshot, error) {
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxSnapshotSize))
	if err != nil {
		return snapshot{}, fmt.Errorf("%w: %w", ErrBadSnapshot, err)
	}
	defer decoder.Close()
	plain, err := decoder.DecodeAll(encoded, nil)
	if err != nil {
		return snapshot{}, fmt.Errorf("%w: %w", ErrBadSnapshot, err)
	}
	var s snapshot
	reader := json.NewDecoder(bytes.NewReader(plain))
	reader.DisallowUnknownFields()
	if err := reader.Decode(&s); err != nil {
		return snapshot{}, fmt.Errorf("%w: %w", ErrBadSnapshot, err)
	}
	if s.Version != snapshotVersion {
		return snapshot{}, fmt.Errorf("%w: version %d", ErrBadSnapshot, s.Version)
	}
	return s, nil
}

// load builds the state, including the sums that the encoding leaves out.
func (s snapshot) load() (*stateData, error) {
	d := newStateData()
	d.offset.Store(int64(s.Offset))
	d.clock = s.Clock
	d.decls.put(s.Declarations, s.InForce)
	for id, p := range s.Proposals {
		d.decls.proposals[id] = &p
	}
	for _, member := range s.Members {
		d.members.rows[member.Instance] = member
	}
	d.members.changed = s.Changed
	maps.Copy(d.members.left, s.Left)
	maps.Copy(d.writers.rows, s.Writers)
	d.profiles.restore(s.Learned)
	for id, w := range s.Workers {
		w.Committed = model.Resources{}
		d.workers.rows.put(id, &w)
	}
	d.jobs.nextNumber, d.jobs.recentlyFinished, d.jobs.archived = s.NextJob, s.Done, s.Finished
	for _, row := range s.Finished {
		d.jobs.archivedByID.put(row.ID, row)
	}
	for _, j := range s.Jobs {
		if err := d.loadJob(j); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// loadJob adds a job and the reservations of its tasks.
func (d *stateData) loadJob(j *job) error {
	j.Done = 0
	for i := range j.Tasks {
		t := &j.Tasks[i]
		j.addToPhase(t.Phase, 1)
		if t.Phase != PhaseBound && t.Phase != PhasePulled {
			continue
		}
		d.usages.add(j.Spec.Team, t.Reservation)
		if t.Phase == PhasePulled || t.Behind {
			continue
		}
		w, ok := d.workers.rows.get(t.Worker)
		if !ok {
			return fmt.Errorf("%w: task %s is bound to the unknown worker %s", ErrBadSnapshot, t.ID, t.Worker)
		}
		w.Committed = w.Committed.Plus(t.Reservation)
	}
	d.jobs.rows.put(j.Spec.ID, j)
	d.jobs.queues.update(j)
	return nil
}
