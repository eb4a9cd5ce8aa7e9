package state_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/record"
	"arbutuswing.example/internal/state"
)

// teamTerms is what the reference model expects of a team's declaration: its task limit, and whether it has its key.
type teamTerms struct {
	limit int
	key   bool
}

type openProposal struct {
	put, before teamTerms
	team        model.TeamID
}

// operators simulates several operators who base changes on current or outdated declarations, and models the expected
// result.
type operators struct {
	rig           *rig
	teams         map[model.TeamID]teamTerms
	outOfService  map[model.DataCentreID]bool
	base          model.Offset
	openProposals map[string]openProposal
	// bases holds the offsets of all changes so far, and snapshots those taken so far.
	bases     []model.Offset
	snapshots [][]byte
}

var (
	keysOf = map[model.TeamID]model.KeyHash{"red": redKey, "blue": blueKey}
	orgsOf = map[model.TeamID]model.OrganisationID{"red": "north", "blue": "south"}
)

// TestDeclarations guards against changes that overwrite another change that the author had not seen, that come into
// force without approval, or that are undone, while operators change the same objects and old snapshots are restored.
func TestDeclarations(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		o := &operators{
			rig: newBaseRig(t, testConfig()), teams: map[model.TeamID]teamTerms{"red": {0, true}, "blue": {2, true}},
			outOfService: map[model.DataCentreID]bool{"c": true}, openProposals: make(map[string]openProposal),
			bases: []model.Offset{-1, 0},
		}
		rt.Repeat(map[string]func(*rapid.T){
			"centre": o.changeService, "withdraw": o.withdrawKey, "terms": o.changeTerms, "verdict": o.verdict,
			"restore": o.restore, "": o.check,
		})
	})
}

func drawTeam(t *rapid.T) model.TeamID {
	return rapid.SampledFrom([]model.TeamID{"blue", "red"}).Draw(t, "team")
}

// change returns a change based on the newest offset or an older one, and reports whether that is the offset in force.
func (o *operators) change(t *rapid.T, p decl.Patch) (record.Change, bool) {
	base := o.base
	if rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
		base = rapid.SampledFrom(o.bases).Draw(t, "base")
	}
	return record.Change{ID: "c", Base: base, Contents: patch(p)}, base == o.base
}

// noteInForce notes that the change of the last envelope came into force.
func (o *operators) noteInForce() {
	o.base = o.rig.offset
	o.bases = append(o.bases, o.base)
}

func (o *operators) changeService(t *rapid.T) {
	name := rapid.SampledFrom([]model.DataCentreID{"a", "c"}).Draw(t, "centre")
	out := rapid.Bool().Draw(t, "out")
	service := map[bool]decl.ServiceState{true: decl.OutOfService, false: decl.InService}[out]
	op, fresh := o.change(t, decl.Patch{Put: decl.Set{DataCentres: []decl.DataCentre{{Name: name, Region: "r", Service: service}}}})
	err := o.rig.apply(op)[0]
	if !fresh {
		assert.ErrorIs(t, err, state.ErrConflict)
		return
	}
	assert.NilError(t, err)
	o.outOfService[name] = out
	o.noteInForce()
}

func (o *operators) withdrawKey(t *rapid.T) {
	name := drawTeam(t)
	op, fresh := o.change(t, decl.Patch{WithdrawKeys: []decl.KeyChange{{Team: name, Key: keysOf[name]}}})
	err := o.rig.apply(op)[0]
	if fresh && !o.teams[name].key {
		assert.ErrorIs(t, err, state.ErrInvalid)
		return
	}
	assert.Equal(t, err == nil, fresh)
	if fresh {
		o.teams[name] = teamTerms{limit: o.teams[name].limit}
		o.noteInForce()
	}
}

// changeTerms changes a team's limit, either by a direct change, which is rejected because it needs approval, or by a
// proposal, which waits for approval.
func (o *operators) changeTerms(t *rapid.T) {
	name := drawTeam(t)
	put := teamTerms{limit: rapid.IntRange(0, 3).Draw(t, "limit"), key: true}
	op, fresh := o.change(t, decl.Patch{Put: decl.Set{Teams: []decl.Team{
		team(name, orgsOf[name], keysOf[name], put.limit),
	}}})
	op.ID = rapid.SampledFrom([]string{"p1", "p2", "p3"}).Draw(t, "id")
	_, known := o.openProposals[op.ID]
	proposed := rapid.IntRange(0, 3).Draw(t, "proposed") > 0
	var err error
	if proposed {
		err = o.rig.apply(record.Proposal{Change: op})[0]
	} else {
		err = o.rig.apply(op)[0]
	}
	waits := put.limit != o.teams[name].limit
	switch {
	case proposed && known:
		assert.ErrorIs(t, err, state.ErrDuplicate)
	case !fresh:
		assert.ErrorIs(t, err, state.ErrConflict)
	case waits && !proposed:
		assert.ErrorIs(t, err, state.ErrNeedsApproval)
	case waits:
		assert.NilError(t, err)
		o.openProposals[op.ID] = openProposal{put: put, before: o.teams[name], team: name}
	default:
		assert.NilError(t, err)
		o.teams[name] = put
		o.noteInForce()
	}
}

func (o *operators) verdict(t *rapid.T) {
	id := rapid.SampledFrom([]string{"p1", "p2", "p3"}).Draw(t, "id")
	org := rapid.SampledFrom([]model.OrganisationID{"north", "south"}).Draw(t, "organisation")
	key := map[model.OrganisationID]model.KeyHash{"north": northKey, "south": southKey}[org]
	wrong := rapid.IntRange(0, 4).Draw(t, "wrong") == 0
	if wrong {
		key = redKey
	}
	approve := rapid.IntRange(0, 3).Draw(t, "approve") > 0
	err := o.rig.apply(record.Verdict{Proposal: id, Organisation: org, Key: key, Approve: approve})[0]
	p, known := o.openProposals[id]
	switch {
	case !known:
		assert.ErrorIs(t, err, state.ErrNotFound)
		return
	case wrong || orgsOf[p.team] != org:
		assert.ErrorIs(t, err, state.ErrKeyNotGranted)
		return
	case !approve:
		assert.NilError(t, err)
	case p.before != o.teams[p.team]:
		assert.ErrorIs(t, err, state.ErrConflict)
	default:
		assert.NilError(t, err)
		o.teams[p.team] = p.put
		o.noteInForce()
	}
	delete(o.openProposals, id)
}

// restore continues with a new machine restored from a snapshot of the present state. Every older snapshot must be
// rejected.
func (o *operators) restore(t *rapid.T) {
	o.rig.apply()
	for _, old := range o.snapshots {
		_, err := o.rig.machine.Restore(old)
		assert.ErrorIs(t, err, state.ErrOldSnapshot)
	}
	snapshot, err := o.rig.machine.Snapshot()
	assert.NilError(t, err)
	o.rig.machine, err = state.New(testConfig())
	assert.NilError(t, err)
	_, err = o.rig.machine.Restore(snapshot)
	assert.NilError(t, err)
	o.snapshots = append(o.snapshots, snapshot)
	o.rig.apply()
}

func (o *operators) check(t *rapid.T) {
	o.rig.machine.CheckInvariants()
	set, offset := o.rig.machine.Declarations()
	assert.Equal(t, offset, o.base)
	for _, declared := range set.Teams {
		assert.Equal(t, teamTerms{declared.Limit.Tasks, len(declared.Keys) > 0}, o.teams[declared.Name])
	}
	for _, centre := range set.DataCentres {
		assert.Equal(t, centre.Service == decl.OutOfService, o.outOfService[centre.Name], "data centre %s", centre.Name)
	}
	proposals := o.rig.machine.Proposals()
	ids := make([]string, 0, len(proposals))
	for _, p := range proposals {
		ids = append(ids, p.Change.ID)
	}
	slices.Sort(ids)
	assert.Equal(t, fmt.Sprint(ids), fmt.Sprint(slices.Sorted(maps.Keys(o.openProposals))))
}

// TestProposalsBound guards against undecided proposals that accumulate until memory runs out.
func TestProposalsBound(t *testing.T) {
	r := newBaseRig(t, testConfig())
	limit := patch(decl.Patch{Put: decl.Set{Teams: []decl.Team{team("red", "north", redKey, 9)}}})
	for i := range 1_000 {
		r.must(record.Proposal{Change: record.Change{ID: fmt.Sprint(i), Contents: limit}})
	}
	next := record.Proposal{Change: record.Change{ID: "next", Contents: limit}}
	assert.ErrorIs(t, r.apply(next)[0], state.ErrTooManyProposals)
	r.must(record.Verdict{Proposal: "0", Organisation: "north", Key: northKey}, next)
}

// TestApprovals guards against a change that comes into force before every organisation concerned has approved it.
func TestApprovals(t *testing.T) {
	r := newBaseRig(t, testConfig())
	moved := patch(decl.Patch{Put: decl.Set{Teams: []decl.Team{team("red", "south", redKey, 0)}}})
	r.must(record.Proposal{Change: record.Change{ID: "move", Contents: moved}})
	assert.DeepEqual(t, r.machine.Proposals()[0].Needed, []model.OrganisationID{"north", "south"})
	north := record.Verdict{Proposal: "move", Organisation: "north", Key: northKey, Approve: true}
	r.must(north)
	assert.ErrorIs(t, r.apply(north)[0], state.ErrDuplicate)
	_, offset := r.machine.Declarations()
	assert.Equal(t, offset, model.Offset(0))
	r.must(record.Verdict{Proposal: "move", Organisation: "south", Key: southKey, Approve: true})
	set, offset := r.machine.Declarations()
	assert.Equal(t, offset, r.offset)
	red, _ := set.Team("red")
	assert.Equal(t, red.Organisation, model.OrganisationID("south"))
	assert.Equal(t, len(r.machine.Proposals()), 0)
}
