package state_test

import (
	"encoding/json"
	"flag"
	"os"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/invar"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/record"
	"arbutuswing.example/internal/state"
)

// TestMain fixes the seed, so that a failure in CI can be reproduced, and raises the number of steps of state machine
// tests, so that workers fill up.
func TestMain(m *testing.M) {
	flag.Parse()
	for _, preset := range []struct{ name, unset, value string }{
		{"rapid.seed", "0", "20261204"}, {"rapid.steps", "30", "60"},
	} {
		if set := flag.Lookup(preset.name); set != nil && set.Value.String() == preset.unset {
			if err := flag.Set(preset.name, preset.value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

const second = int64(1e9)

var (
	redKey   = model.HashKey("red")
	blueKey  = model.HashKey("blue")
	northKey = model.HashKey("north")
	southKey = model.HashKey("south")
)

func testConfig() state.Config { return state.Config{Invariants: invar.New(zap.NewNop(), true)} }

func cores(n int64) model.Resources {
	return model.Resources{Cores: model.MilliCores(n * 1000), Memory: model.Mebibytes(n * 1024)}
}

func team(name model.TeamID, org model.OrganisationID, key model.KeyHash, limit int) decl.Team {
	return decl.Team{
		Name: name, Organisation: org, Share: 1, Keys: []model.KeyHash{key}, Limit: decl.Limit{Tasks: limit},
	}
}

// baseSet has two teams of two organisations, an open class and one that isn't, and data centre c out of service.
func baseSet() decl.Set {
	return decl.Set{
		Organisations: []decl.Organisation{
			{Name: "north", ApprovalKey: northKey}, {Name: "south", ApprovalKey: southKey},
		},
		Teams:   []decl.Team{team("red", "north", redKey, 0), team("blue", "south", blueKey, 2)},
		Classes: []decl.Class{{Name: "night"}, {Name: "open", Open: true}},
		DataCentres: []decl.DataCentre{
			{Name: "a", Region: "r", Service: decl.InService},
			{Name: "b", Region: "r", Service: decl.InService},
			{Name: "c", Region: "r", Service: decl.OutOfService},
		},
	}
}

// rig applies envelopes of one incarnation to a machine at consecutive offsets.
type rig struct {
	t       testing.TB
	machine *state.Machine
	offset  model.Offset
	seq     int64
	time    int64
}

func newRig(t testing.TB, cfg state.Config) *rig {
	machine, err := state.New(cfg)
	assert.NilError(t, err)
	return &rig{t: t, machine: machine, offset: -1, time: 1_000 * second}
}

// newBaseRig returns a rig with baseSet in force and workers of 4 cores each: w1 and w2 in a, w3 in b, w4 in c.
func newBaseRig(t testing.TB, cfg state.Config) *rig {
	r := newRig(t, cfg)
	r.must(record.Change{ID: "base", Base: model.NoOffset, Contents: patch(decl.Patch{Put: baseSet()})})
	r.must(seen("w1", "boot-1", "a"), seen("w2", "boot-1", "a"), seen("w3", "boot-1", "b"), seen("w4", "boot-1", "c"))
	return r
}

func patch(p decl.Patch) json.RawMessage { return json.RawMessage(asJSON(p)) }

func asJSON(value any) string {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return string(data)
}

func seen(id model.WorkerID, boot model.BootID, dc model.DataCentreID) record.WorkerSeen {
	return record.WorkerSeen{Worker: id, Boot: boot, Capacity: cores(4), DataCentre: dc, Rack: "r"}
}

func spec(id model.JobID, tasks int) model.JobSpec {
	return model.JobSpec{
		ID: id, Team: "red", Class: "night", Kind: model.KindBatch, Tasks: tasks, Size: cores(1), Rerun: true,
	}
}

func accepted(s model.JobSpec) record.JobAccepted { return record.JobAccepted{Spec: s} }

func attempt(job model.JobID, index, number int) model.AttemptID {
	return model.AttemptID{Task: model.TaskID{Job: job, Index: index}, Number: number}
}

func taken(job model.JobID, index, number int, worker model.WorkerID) record.Taken {
	return record.Taken{
		Attempt: attempt(job, index, number), Worker: worker, Boot: "boot-1", Reservation: cores(1),
	}
}

func ended(job model.JobID, index, number int, worker model.WorkerID, outcome model.Outcome) record.Ended {
	return record.Ended{Attempt: attempt(job, index, number), Worker: worker, Outcome: outcome}
}

func (r *rig) envelope(writer model.InstanceID, ops ...record.Op) record.Envelope {
	r.seq++
	r.time += second
	return record.Envelope{Writer: writer, Incarnation: 1, Sequence: r.seq, Time: r.time, Ops: ops}
}

// applyAs applies one envelope of the writer at the next offset.
func (r *rig) applyAs(writer model.InstanceID, ops ...record.Op) state.ApplyResult {
	r.offset++
	return r.machine.Apply(r.offset, r.envelope(writer, ops...))
}

func (r *rig) apply(ops ...record.Op) []error { return r.applyAs("entry-1", ops...).Results }

// must applies operations and fails the test if one is rejected.
func (r *rig) must(ops ...record.Op) {
	r.t.Helper()
	applied := r.applyAs("entry-1", ops...)
	for i, err := range applied.Results {
		assert.NilError(r.t, err, "operation %d: %T", i, ops[i])
	}
}

func (r *rig) task(job model.JobID, index int) state.Task {
	r.t.Helper()
	task, _, ok := r.machine.Task(model.TaskID{Job: job, Index: index})
	assert.Assert(r.t, ok, "task %s/%d", job, index)
	return task
}

func (r *rig) worker(id model.WorkerID) state.Worker {
	r.t.Helper()
	worker, ok := r.machine.Worker(id)
	assert.Assert(r.t, ok, "worker %s", id)
	return worker
}
