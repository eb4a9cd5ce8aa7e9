package state

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/invar"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/record"
)

// maxProposals bounds the proposals that wait, because nothing but a verdict ends one.
const maxProposals = 1_000

// proposal is a waiting change with the touched objects as they were when it was recorded.
type proposal struct {
	Proposal
	// Before is the JSON of the touched objects.
	Before json.RawMessage `json:"before"`
}

// change applies a change that needs no approval.
func (f *fold) change(op record.Change) error {
	set, needed, err := f.evaluate(op)
	if err != nil {
		return err
	}
	if len(needed) > 0 {
		return ErrNeedsApproval
	}
	f.enforce(set)
	return nil
}

// proposal keeps a change until the organisations that it touches decide; one that touches none takes effect at once.
func (f *fold) proposal(op record.Proposal) error {
	if _, open := f.decls.proposals[op.Change.ID]; open {
		return ErrDuplicate
	}
	set, needed, err := f.evaluate(op.Change)
	if err != nil {
		return err
	}
	if len(needed) == 0 {
		f.enforce(set)
		return nil
	}
	if len(f.decls.proposals) >= maxProposals {
		return ErrTooManyProposals
	}
	before, err := f.touched(op.Change)
	if err != nil {
		return err
	}
	p := &proposal{Before: before, Proposal: Proposal{
		Change: op.Change, Recorded: f.offset, Time: f.env.Time, Needed: needed,
	}}
	f.decls.mu.Lock()
	defer f.decls.mu.Unlock()
	f.decls.proposals[op.Change.ID] = p
	return nil
}

// verdict records an organisation's decision; the last approval brings the change into force.
func (f *fold) verdict(op record.Verdict) error {
	p, open := f.decls.proposals[op.Proposal]
	if !open {
		return ErrNotFound
	}
	org, known := f.decls.set.Organisation(op.Organisation)
	if !known || org.ApprovalKey == "" || org.ApprovalKey != op.Key {
		return ErrKeyNotGranted
	}
	if !slices.Contains(p.Needed, op.Organisation) {
		return ErrKeyNotGranted
	}
	if !op.Approve {
		f.drop(op.Proposal)
		return nil
	}
	return f.approve(p, op.Organisation)
}

// approve adds an approval. A proposal whose touched objects changed is dropped, because its author and the
// organisations that approved it saw other terms than the ones that it would replace.
func (f *fold) approve(p *proposal, org model.OrganisationID) error {
	if slices.Contains(p.Approved, org) {
		return ErrDuplicate
	}
	now, err := f.touched(p.Change)
	if err != nil || string(now) != string(p.Before) {
		f.drop(p.Change.ID)
		return ErrConflict
	}
	set, err := f.patched(p.Change)
	if err != nil {
		f.drop(p.Change.ID)
		return err
	}
	f.decls.mu.Lock()
	p.Approved = sortedSet(append(slices.Clone(p.Approved), org))
	// Other changes can have made more organisations concerned since the proposal was recorded.
	p.Needed = sortedSet(append(slices.Clone(p.Needed), f.cfg.Approvers(f.decls.set, set)...))
	f.decls.mu.Unlock()
	if len(p.Approved) < len(p.Needed) {
		return nil
	}
	f.drop(p.Change.ID)
	f.enforce(set)
	return nil
}

// evaluate returns the set that the change leads to and the organisations that must approve it.
func (f *fold) evaluate(change record.Change) (decl.Set, []model.OrganisationID, error) {
	if change.Base != f.decls.offset {
		return decl.Set{}, nil, ErrConflict
	}
	set, err := f.patched(change)
	if err != nil {
		return decl.Set{}, nil, err
	}
	return set, sortedSet(slices.Clone(f.cfg.Approvers(f.decls.set, set))), nil
}

// patched applies the change to the set in force and checks the result.
func (f *fold) patched(change record.Change) (decl.Set, error) {
	patch, err := f.cfg.ParsePatch(change.Contents)
	if err != nil {
		return decl.Set{}, invalid(err)
	}
	set, err := f.cfg.ApplyPatch(f.decls.set, patch)
	if err != nil {
		return decl.Set{}, invalid(err)
	}
	if err := f.cfg.CheckSet(set); err != nil {
		return decl.Set{}, invalid(err)
	}
	return set, nil
}

// invalid keeps the text of the reason, so that the operator sees which object is at fault.
func invalid(err error) error {
	if errors.Is(err, ErrInvalid) {
		return err
	}
	return fmt.Errorf("%w: %w", ErrInvalid, err)
}

// touched returns the JSON of the objects that the change names, as they are in force.
func (f *fold) touched(change record.Change) ([]byte, error) {
	patch, err := f.cfg.ParsePatch(change.Contents)
	if err != nil {
		return nil, invalid(err)
	}
	data, err := json.Marshal(restrict(f.decls.set, patch))
	if err != nil {
		return nil, invalid(err)
	}
	return data, nil
}

// restrict returns the objects of the set that the patch names.
func restrict(set decl.Set, patch decl.Patch) decl.Set {
	teams := slices.Clone(patch.Remove.Teams)
	for _, team := range patch.Put.Teams {
		teams = append(teams, team.Name)
	}
	for _, change := range slices.Concat(patch.GrantKeys, patch.WithdrawKeys) {
		teams = append(teams, change.Team)
	}
	orgs := slices.Clone(patch.Remove.Organisations)
	for _, org := range patch.Put.Organisations {
		orgs = append(orgs, org.Name)
	}
	classes := slices.Clone(patch.Remove.Classes)
	for _, class := range patch.Put.Classes {
		classes = append(classes, class.Name)
	}
	centres := slices.Clone(patch.Remove.DataCentres)
	for _, centre := range patch.Put.DataCentres {
		centres = append(centres, centre.Name)
	}
	return decl.Set{
		Organisations: named(set.Organisations, orgs, func(o decl.Organisation) model.OrganisationID { return o.Name }),
		Teams:         named(set.Teams, teams, func(t decl.Team) model.TeamID { return t.Name }),
		Classes:       named(set.Classes, classes, func(c decl.Class) model.ClassID { return c.Name }),
		DataCentres:   named(set.DataCentres, centres, func(c decl.DataCentre) model.DataCentreID { return c.Name }),
	}
}

// named returns the objects with one of the names, in name order.
func named[T any, N ~string](objects []T, names []N, name func(T) N) []T {
	var out []T
	for _, object := range objects {
		if slices.Contains(names, name(object)) {
			out = append(out, object)
		}
	}
	slices.SortFunc(out, func(a, b T) int {
		if name(a) < name(b) {
			return -1
		}
		return 1
	})
	return out
}

func (f *fold) drop(id string) {
	f.decls.mu.Lock()
	defer f.decls.mu.Unlock()
	delete(f.decls.proposals, id)
}

// enforce brings the set into force. What the envelope bound so far was bound under the earlier limits, so it is
// checked against them first.
func (f *fold) enforce(set decl.Set) {
	f.checkLimits()
	f.cfg.Invariants.Check(invar.ConfigForward, f.offset >= f.decls.offset,
		"declarations of offset %d would follow those of %d", f.offset, f.decls.offset)
	f.decls.put(set, f.offset)
	f.emit(DeclarationsChanged{Offset: f.offset, Set: set})
}

func sortedSet[T ~string](items []T) []T {
	slices.Sort(items)
	return slices.Compact(items)
}
