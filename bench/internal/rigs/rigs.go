package rigs

import (
	"encoding/json"
	"fmt"
	"time"

	"go.uber.org/zap"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/invar"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/record"
	"arbutuswing.example/internal/state"
)

const (
	// opsPerEnvelope is the number of operations per envelope while a state is built.
	opsPerEnvelope = 200
	// DataCentreCount is the number of data centres of the planned size.
	DataCentreCount = 16
	workersPerRack  = 8
	// tasksPerJob is the number of tasks of a bound or queued job.
	tasksPerJob = 4
	// Class is the class of all jobs.
	Class = model.ClassID("overnight")
	// Writer is the instance that writes the envelopes.
	Writer = model.InstanceID("entry-dc01-1")
)

// Capacity is the capacity of each worker: 64 cores and 256 GiB.
var Capacity = model.Resources{Cores: 64_000, Memory: 256 << 10}

// TaskSize is the size of each task: 34,000 of them leave little free capacity on 7,500 workers.
var TaskSize = model.Resources{Cores: 12_000, Memory: 40 << 10}

// Size is the size of a state. Workers and Teams are numbers of these, Bound and Queued numbers of tasks, Finished a
// number of jobs.
type Size struct {
	Workers, Teams, Bound, Queued, Finished int
	// DataCentre, if set, is the data centre of all workers; otherwise they are spread over DataCentreCount data
	// centres.
	DataCentre model.DataCentreID
}

// Planned is the size planned for two years ahead, as in docs/design.md.
var Planned = Size{Workers: 7_500, Teams: 280, Bound: 34_000, Queued: 20_000, Finished: 20_000}

// Divided returns the size divided by n.
func (s Size) Divided(n int) Size {
	s.Workers, s.Teams, s.Bound = s.Workers/n, max(1, s.Teams/n), s.Bound/n
	s.Queued, s.Finished = s.Queued/n, s.Finished/n
	return s
}

// Fixture is a state machine together with the position and writer of its log.
type Fixture struct {
	Size       Size
	Machine    *state.Machine
	Offset     model.Offset
	sequence   int64
	now        int64
	onEnvelope func(record.Envelope) error
}

// New returns a fixture whose state has the given size.
func New(size Size) (*Fixture, error) {
	return NewRecorded(size, func(record.Envelope) error { return nil })
}

// NewRecorded returns a fixture whose state has the given size, and calls onEnvelope with each envelope in the order of
// the log.
func NewRecorded(size Size, onEnvelope func(record.Envelope) error) (*Fixture, error) {
	machine, err := NewMachine()
	if err != nil {
		return nil, err
	}
	f := &Fixture{
		Size: size, Machine: machine, Offset: model.NoOffset, onEnvelope: onEnvelope,
		now: time.Date(2026, 12, 4, 20, 0, 0, 0, time.UTC).UnixNano(),
	}
	if err := f.declare(); err != nil {
		return nil, err
	}
	return f, f.fill()
}

// NewMachine returns an empty state machine with the configuration that entry instances use.
func NewMachine() (*state.Machine, error) {
	machine, err := state.New(state.Config{Invariants: invar.New(zap.NewNop(), false)})
	if err != nil {
		return nil, fmt.Errorf("creating a state machine: %w", err)
	}
	return machine, nil
}

// dataCentre returns the name of the data centre of worker i.
func (s Size) dataCentre(i int) model.DataCentreID {
	if s.DataCentre != "" {
		return s.DataCentre
	}
	return model.DataCentreID(fmt.Sprintf("dc%02d", i/workersPerRack%DataCentreCount+1))
}

// Worker returns the registration of worker i.
func (s Size) Worker(i int) record.WorkerSeen {
	dc := s.dataCentre(i)
	return record.WorkerSeen{
		Worker: model.WorkerID(fmt.Sprintf("%s-w%05d", dc, i)), Boot: "boot-0001", Capacity: Capacity, DataCentre: dc,
		Rack: model.RackID(fmt.Sprintf("%s-r%04d", dc, i/workersPerRack)),
	}
}

// Team returns the name of team i.
func Team(i int) model.TeamID { return model.TeamID(fmt.Sprintf("team-%03d", i)) }

// Spec returns the specification of job i with the given number of tasks.
func (s Size) Spec(i, tasks int) model.JobSpec {
	return model.JobSpec{
		ID: model.JobID(fmt.Sprintf("overnight-%08d", i)), Team: Team(i % s.Teams), Class: Class, Kind: model.KindBatch,
		Tasks: tasks, Size: TaskSize, RunTime: model.Duration(20 * time.Minute), Rerun: true,
		Profile: fmt.Sprintf("profile-%04d", i%(4*s.Teams)),
	}
}

// Set returns the declarations for the size.
func (s Size) Set() decl.Set {
	set := decl.Set{
		Organisations: []decl.Organisation{{Name: "north", ApprovalKey: model.HashKey("north")}},
		Classes: []decl.Class{
			{Name: Class, Target: decl.Target{DoneBy: &decl.DoneBy{Time: "06:00", Zone: "UTC"}}},
			{Name: "urgent", Target: decl.Target{StartedWithin: model.Duration(4 * time.Second)}},
			{Name: "patient"},
		},
	}
	for i := range s.Teams {
		set.Teams = append(set.Teams, decl.Team{
			Name: Team(i), Organisation: "north", Share: float64(1 + i%4), Keys: []model.KeyHash{TeamKeyHash(i)},
		})
	}
	for i := range DataCentreCount {
		set.DataCentres = append(set.DataCentres, decl.DataCentre{
			Name: model.DataCentreID(fmt.Sprintf("dc%02d", i+1)), Region: fmt.Sprintf("region-%d", i%6+1), Service: decl.InService,
		})
	}
	return set
}

// TeamKeyHash returns the hash of the key of team i.
func TeamKeyHash(i int) model.KeyHash { return model.HashKey(string(Team(i))) }

func (f *Fixture) declare() error {
	contents, err := json.Marshal(decl.Patch{Put: f.Size.Set()})
	if err != nil {
		return fmt.Errorf("encoding declarations: %w", err)
	}
	return f.ApplyOps(record.Change{ID: "base", Base: model.NoOffset, Author: "bench", Contents: contents})
}

func (f *Fixture) fill() error {
	var ops []record.Op
	for i := range f.Size.Workers {
		ops = append(ops, f.Size.Worker(i))
	}
	for i := range f.Size.Finished {
		ops = append(ops, f.finishedJobOps(i)...)
	}
	job := f.Size.Finished
	for i := 0; i < f.Size.Bound; i += tasksPerJob {
		ops = append(ops, f.acceptOp(f.Size.Spec(job, tasksPerJob)))
		for k := range tasksPerJob {
			ops = append(ops, f.BindOp(f.Size.Spec(job, tasksPerJob).ID, k, 1, i+k))
		}
		job++
	}
	for i := 0; i < f.Size.Queued; i += tasksPerJob {
		ops = append(ops, f.acceptOp(f.Size.Spec(job, tasksPerJob)))
		job++
	}
	for ; len(ops) > opsPerEnvelope; ops = ops[opsPerEnvelope:] {
		if err := f.ApplyOps(ops[:opsPerEnvelope]...); err != nil {
			return err
		}
	}
	return f.ApplyOps(ops...)
}

func (f *Fixture) finishedJobOps(i int) []record.Op {
	spec := f.Size.Spec(i, 1)
	return []record.Op{f.acceptOp(spec), f.BindOp(spec.ID, 0, 1, i), f.EndOp(spec.ID, 0, 1, i, model.OutcomeSucceeded)}
}

func (f *Fixture) acceptOp(spec model.JobSpec) record.Op {
	return record.JobAccepted{Spec: spec, Key: model.HashKey(string(spec.Team)), Submitted: f.now}
}

// BindOp returns the operation that binds an attempt to worker i.
func (f *Fixture) BindOp(job model.JobID, index, number, i int) record.Op {
	w := f.Size.Worker(i % f.Size.Workers)
	return record.Taken{Attempt: attemptID(job, index, number), Worker: w.Worker, Boot: w.Boot, Reservation: TaskSize}
}

// EndOp returns the operation that ends an attempt on worker i.
func (f *Fixture) EndOp(job model.JobID, index, number, i int, outcome model.Outcome) record.Op {
	return record.Ended{
		Attempt: attemptID(job, index, number), Worker: f.Size.Worker(i % f.Size.Workers).Worker, Outcome: outcome,
		Usage: model.Usage{
			Peak:    model.Resources{Cores: 9_500 + model.MilliCores(i%1000), Memory: 30 << 10},
			RunTime: model.Duration(13*time.Minute + time.Duration(i%60_000)*time.Millisecond),
		},
	}
}

func attemptID(job model.JobID, index, number int) model.AttemptID {
	return model.AttemptID{Task: model.TaskID{Job: job, Index: index}, Number: number}
}

// Envelope returns the next envelope of the writer, holding the operations.
func (f *Fixture) Envelope(ops ...record.Op) record.Envelope {
	f.sequence++
	f.now += int64(20 * time.Millisecond)
	return record.Envelope{
		Writer: Writer, Incarnation: 1_780_000_000_000_000_000, Sequence: f.sequence, Time: f.now, Ops: ops,
	}
}

// Now returns the time of the last envelope.
func (f *Fixture) Now() time.Time { return time.Unix(0, f.now) }

// ApplyOps applies operations in one envelope and returns an error if one of them is rejected.
func (f *Fixture) ApplyOps(ops ...record.Op) error {
	f.Offset++
	env := f.Envelope(ops...)
	if err := f.onEnvelope(env); err != nil {
		return fmt.Errorf("recording an envelope: %w", err)
	}
	applied := f.Machine.Apply(f.Offset, env)
	for i, err := range applied.Results {
		if err != nil {
			return fmt.Errorf("applying operation %d, %s: %w", i, record.KindOf(ops[i]), err)
		}
	}
	return nil
}

// Turnover returns operations that end the attempts of count bound tasks, starting with task number from, and bind them
// again; every second operation ends an attempt.
func (f *Fixture) Turnover(from, count int) []record.Op {
	var ops []record.Op
	for i := from; i < from+count; i++ {
		taskNumber := i % (f.Size.Bound / tasksPerJob * tasksPerJob)
		id := model.TaskID{Job: f.Size.Spec(f.Size.Finished+taskNumber/tasksPerJob, tasksPerJob).ID, Index: taskNumber % tasksPerJob}
		task, _, _ := f.Machine.Task(id)
		ops = append(ops,
			f.EndOp(id.Job, id.Index, task.Attempt, taskNumber, model.OutcomePreempted),
			f.BindOp(id.Job, id.Index, task.Attempt+1, taskNumber))
	}
	return ops
}
