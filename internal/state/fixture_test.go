package state_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"os"
	"slices"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/invar"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/record"
	"arbutuswing.example/internal/state"
)

// TestMain fixes the seed, so that a run in CI can be repeated.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed != nil && seed.Value.String() == "0" {
		if err := flag.Set("rapid.seed", "20261204"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const (
	redKey   = model.KeyHash("red-key")
	blueKey  = model.KeyHash("blue-key")
	northKey = model.KeyHash("north-key")
	southKey = model.KeyHash("south-key")
	second   = int64(1e9)
)

var errBadSet = errors.New("a team without an organisation")

// testConfig has declarations functions that are simpler than the real ones.
func testConfig() state.Config {
	return state.Config{
		ParsePatch: parsePatch, ApplyPatch: applyPatch, CheckSet: checkSet, Touches: touches,
		Invariants: invar.New(zap.NewNop(), true),
	}
}

func parsePatch(data []byte) (decl.Patch, error) {
	var patch decl.Patch
	reader := json.NewDecoder(bytes.NewReader(data))
	reader.DisallowUnknownFields()
	return patch, reader.Decode(&patch)
}

func applyPatch(set decl.Set, patch decl.Patch) (decl.Set, error) {
	out := decl.Set{
		Organisations: merge(set.Organisations, patch.Put.Organisations, patch.Remove.Organisations,
			func(o decl.Organisation) model.OrganisationID { return o.Name }),
		Teams: merge(set.Teams, patch.Put.Teams, patch.Remove.Teams,
			func(t decl.Team) model.TeamID { return t.Name }),
		Classes: merge(set.Classes, patch.Put.Classes, patch.Remove.Classes,
			func(c decl.Class) model.ClassID { return c.Name }),
		DataCentres: merge(set.DataCentres, patch.Put.DataCentres, patch.Remove.DataCentres,
			func(c decl.DataCentre) model.DataCentreID { return c.Name }),
	}
	for _, change := range patch.WithdrawKeys {
		for i := range out.Teams {
			if out.Teams[i].Name == change.Team {
				out.Teams[i].Keys = slices.DeleteFunc(slices.Clone(out.Teams[i].Keys),
					func(key model.KeyHash) bool { return key == change.Key })
			}
		}
	}
	return out, nil
}

func merge[T any, N ~string](have, put []T, remove []N, name func(T) N) []T {
	var out []T
	replaced := func(item T) bool {
		return slices.ContainsFunc(put, func(other T) bool { return name(other) == name(item) })
	}
	for _, item := range have {
		if !replaced(item) && !slices.Contains(remove, name(item)) {
			out = append(out, item)
		}
	}
	return append(out, put...)
}

func checkSet(set decl.Set) error {
	for _, team := range set.Teams {
		if team.Organisation == "" {
			return errBadSet
		}
	}
	return nil
}

// touches names the organisations of teams whose share, limit or organisation changes.
func touches(old, changed decl.Set) []model.OrganisationID {
	var out []model.OrganisationID
	for _, before := range old.Teams {
		at := slices.IndexFunc(changed.Teams, func(t decl.Team) bool { return t.Name == before.Name })
		if at < 0 {
			out = append(out, before.Organisation)
			continue
		}
		after := changed.Teams[at]
		if after.Share != before.Share || after.Limit != before.Limit || after.Organisation != before.Organisation {
			out = append(out, before.Organisation, after.Organisation)
		}
	}
	return out
}

func cores(n int64) model.Resources {
	return model.Resources{Cores: model.MilliCores(n * 1000), Memory: model.Mebibytes(n * 1024)}
}

func team(name model.TeamID, org model.OrganisationID, key model.KeyHash, limit int) decl.Team {
	return decl.Team{
		Name: name, Organisation: org, Share: 1, Keys: []model.KeyHash{key}, Limit: decl.Limit{Tasks: limit},
	}
}

// baseSet has two teams of two organisations, an open and a closed class, and data centre c out of service.
func baseSet() decl.Set {
	return decl.Set{
		Organisations: []decl.Organisation{
			{Name: "north", ApprovalKey: northKey}, {Name: "south", ApprovalKey: southKey},
		},
		Teams:   []decl.Team{team("red", "north", redKey, 0), team("blue", "south", blueKey, 2)},
		Classes: []decl.Class{{Name: "night"}, {Name: "open", Open: true}},
		DataCentres: []decl.DataCentre{
			{Name: "a", Service: decl.InService},
			{Name: "b", Service: decl.InService},
			{Name: "c", Service: decl.OutOfService},
		},
	}
}

// rig feeds a machine with envelopes of one writer.
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

// newBaseRig has baseSet in force, and workers w1 and w2 in a, w3 in b and w4 in c, of 4 cores each.
func newBaseRig(t testing.TB) *rig {
	r := newRig(t, testConfig())
	r.must(record.Change{ID: "base", Base: model.NoOffset, Contents: patch(decl.Patch{Put: baseSet()})})
	r.must(seen("w1", "boot-1", "a"), seen("w2", "boot-1", "a"), seen("w3", "boot-1", "b"), seen("w4", "boot-1", "c"))
	return r
}

func patch(p decl.Patch) json.RawMessage {
	data, err := json.Marshal(p)
	if err != nil {
		panic(err)
	}
	return data
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

// applyAs folds one envelope of the writer at the next offset.
func (r *rig) applyAs(writer model.InstanceID, ops ...record.Op) state.Applied {
	r.offset++
	return r.machine.Apply(r.offset, r.envelope(writer, ops...))
}

func (r *rig) apply(ops ...record.Op) []error { return r.applyAs("entry-1", ops...).Results }

// must folds operations that have to take effect.
func (r *rig) must(ops ...record.Op) []state.Event {
	r.t.Helper()
	applied := r.applyAs("entry-1", ops...)
	for i, err := range applied.Results {
		assert.NilError(r.t, err, "operation %d: %+v", i, ops[i])
	}
	return applied.Events
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
