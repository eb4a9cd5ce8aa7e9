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
	// chunk is the number of operations in one envelope while a state is built.
	chunk = 200
	// Centres is the number of data centres of the planned size.
	Centres = 16
	perRack = 8
	// jobTasks is the number of tasks of a job that has several.
	jobTasks = 4
	// Class is the class of the jobs.
	Class = model.ClassID("overnight")
	// Writer is the instance that wrote the envelopes.
	Writer = model.InstanceID("entry-dc01-1")
)

// Capacity is that of a worker: 64 cores and 256 GB.
var Capacity = model.Resources{Cores: 64_000, Memory: 256 << 10}

// Task is the size of the tasks: 34,000 of them on 7,500 workers leave little room.
var Task = model.Resources{Cores: 12_000, Memory: 40 << 10}

// Size is the size of a state.
type Size struct {
	Workers, Teams, Bound, Queued, Finished int
	// Centre, if set, has all workers in one data centre.
	Centre model.DataCentreID
}

// Planned is the size two years ahead, of docs/design.md.
var Planned = Size{Workers: 7_500, Teams: 280, Bound: 34_000, Queued: 20_000, Finished: 20_000}

// Part returns the size divided by n.
func (s Size) Part(n int) Size {
	s.Workers, s.Teams, s.Bound = s.Workers/n, max(1, s.Teams/n), s.Bound/n
	s.Queued, s.Finished = s.Queued/n, s.Finished/n
	return s
}

// Rig is a machine with its log.
type Rig struct {
	Size    Size
	Machine *state.Machine
	Offset  model.Offset
	seq     int64
	now     int64
	written func(record.Envelope) error
}

// New builds a state of the size.
func New(size Size) (*Rig, error) {
	return Recorded(size, func(record.Envelope) error { return nil })
}

// Recorded builds a state of the size and hands each envelope to written, in the order of the log.
func Recorded(size Size, written func(record.Envelope) error) (*Rig, error) {
	machine, err := Machine()
	if err != nil {
		return nil, err
	}
	r := &Rig{
		Size: size, Machine: machine, Offset: model.NoOffset, written: written,
		now: time.Date(2026, 12, 4, 20, 0, 0, 0, time.UTC).UnixNano(),
	}
	if err := r.declare(); err != nil {
		return nil, err
	}
	return r, r.fill()
}

// Machine returns an empty machine as the entry instances have it.
func Machine() (*state.Machine, error) {
	machine, err := state.New(state.Config{Invariants: invar.New(zap.NewNop(), false)})
	if err != nil {
		return nil, fmt.Errorf("making a machine: %w", err)
	}
	return machine, nil
}

// Centre returns the name of the data centre of a worker.
func (s Size) centre(i int) model.DataCentreID {
	if s.Centre != "" {
		return s.Centre
	}
	return model.DataCentreID(fmt.Sprintf("dc%02d", i/perRack%Centres+1))
}

// Worker returns the record of worker i.
func (s Size) Worker(i int) record.WorkerSeen {
	dc := s.centre(i)
	return record.WorkerSeen{
		Worker: model.WorkerID(fmt.Sprintf("%s-w%05d", dc, i)), Boot: "boot-0001", Capacity: Capacity, DataCentre: dc,
		Rack: model.RackID(fmt.Sprintf("%s-r%04d", dc, i/perRack)),
	}
}

// Team returns the name of team i.
func Team(i int) model.TeamID { return model.TeamID(fmt.Sprintf("team-%03d", i)) }

// Spec returns job i with the given number of tasks.
func (s Size) Spec(i, tasks int) model.JobSpec {
	return model.JobSpec{
		ID: model.JobID(fmt.Sprintf("overnight-%08d", i)), Team: Team(i % s.Teams), Class: Class, Kind: model.KindBatch,
		Tasks: tasks, Size: Task, RunTime: model.Duration(20 * time.Minute), Rerun: true,
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
			Name: Team(i), Organisation: "north", Share: float64(1 + i%4), Keys: []model.KeyHash{Key(i)},
		})
	}
	for i := range Centres {
		set.DataCentres = append(set.DataCentres, decl.DataCentre{
			Name: model.DataCentreID(fmt.Sprintf("dc%02d", i+1)), Region: fmt.Sprintf("region-%d", i%6+1), Service: decl.InService,
		})
	}
	return set
}

// Key returns the hash of the key of team i.
func Key(i int) model.KeyHash { return model.HashKey(string(Team(i))) }

func (r *Rig) declare() error {
	contents, err := json.Marshal(decl.Patch{Put: r.Size.Set()})
	if err != nil {
		return fmt.Errorf("encoding declarations: %w", err)
	}
	return r.Must(record.Change{ID: "base", Base: model.NoOffset, Author: "bench", Contents: contents})
}

func (r *Rig) fill() error {
	var ops []record.Op
	for i := range r.Size.Workers {
		ops = append(ops, r.Size.Worker(i))
	}
	for i := range r.Size.Finished {
		ops = append(ops, r.finishedJob(i)...)
	}
	job := r.Size.Finished
	for i := 0; i < r.Size.Bound; i += jobTasks {
		ops = append(ops, r.accept(r.Size.Spec(job, jobTasks)))
		for k := range jobTasks {
			ops = append(ops, r.Taken(r.Size.Spec(job, jobTasks).ID, k, 1, i+k))
		}
		job++
	}
	for i := 0; i < r.Size.Queued; i += jobTasks {
		ops = append(ops, r.accept(r.Size.Spec(job, jobTasks)))
		job++
	}
	for ; len(ops) > chunk; ops = ops[chunk:] {
		if err := r.Must(ops[:chunk]...); err != nil {
			return err
		}
	}
	return r.Must(ops...)
}

func (r *Rig) finishedJob(i int) []record.Op {
	spec := r.Size.Spec(i, 1)
	return []record.Op{r.accept(spec), r.Taken(spec.ID, 0, 1, i), r.Ended(spec.ID, 0, 1, i, model.OutcomeSucceeded)}
}

func (r *Rig) accept(spec model.JobSpec) record.Op {
	return record.JobAccepted{Spec: spec, Key: model.HashKey(string(spec.Team)), Submitted: r.now}
}

// Taken binds an attempt to worker i.
func (r *Rig) Taken(job model.JobID, index, number, i int) record.Op {
	w := r.Size.Worker(i % r.Size.Workers)
	return record.Taken{Attempt: attempt(job, index, number), Worker: w.Worker, Boot: w.Boot, Reservation: Task}
}

// Ended ends an attempt on worker i.
func (r *Rig) Ended(job model.JobID, index, number, i int, outcome model.Outcome) record.Op {
	return record.Ended{
		Attempt: attempt(job, index, number), Worker: r.Size.Worker(i % r.Size.Workers).Worker, Outcome: outcome,
		Usage: model.Usage{
			Peak:    model.Resources{Cores: 9_500 + model.MilliCores(i%1000), Memory: 30 << 10},
			RunTime: model.Duration(13*time.Minute + time.Duration(i%60_000)*time.Millisecond),
		},
	}
}

func attempt(job model.JobID, index, number int) model.AttemptID {
	return model.AttemptID{Task: model.TaskID{Job: job, Index: index}, Number: number}
}

// Envelope returns the next envelope with the operations.
func (r *Rig) Envelope(ops ...record.Op) record.Envelope {
	r.seq++
	r.now += int64(20 * time.Millisecond)
	return record.Envelope{
		Writer: Writer, Incarnation: 1_780_000_000_000_000_000, Sequence: r.seq, Time: r.now, Ops: ops,
	}
}

// Now returns the time of the last envelope.
func (r *Rig) Now() time.Time { return time.Unix(0, r.now) }

// Must folds operations that have to take effect.
func (r *Rig) Must(ops ...record.Op) error {
	r.Offset++
	env := r.Envelope(ops...)
	if err := r.written(env); err != nil {
		return fmt.Errorf("recording an envelope: %w", err)
	}
	applied := r.Machine.Apply(r.Offset, env)
	for i, err := range applied.Results {
		if err != nil {
			return fmt.Errorf("folding operation %d, %s: %w", i, record.KindOf(ops[i]), err)
		}
	}
	return nil
}

// Turnover returns operations that end the attempts of count bound tasks, from the given one on, and bind them again;
// half of the operations end attempts.
func (r *Rig) Turnover(from, count int) []record.Op {
	var ops []record.Op
	for i := from; i < from+count; i++ {
		at := i % (r.Size.Bound / jobTasks * jobTasks)
		id := model.TaskID{Job: r.Size.Spec(r.Size.Finished+at/jobTasks, jobTasks).ID, Index: at % jobTasks}
		task, _, _ := r.Machine.Task(id)
		ops = append(ops,
			r.Ended(id.Job, id.Index, task.Attempt, at, model.OutcomePreempted),
			r.Taken(id.Job, id.Index, task.Attempt+1, at))
	}
	return ops
}
