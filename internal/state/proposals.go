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

// maxProposals bounds the proposals that wait for approval, because only verdicts end them.
const maxProposals = 1_000

// proposal is a change that waits for approval, with the objects that it names as they were when it was recorded.
type proposal struct {
	Proposal
	// Before is the JSON of these objects.
	Before json.RawMessage `json:"before"`
}

// applyChange applies a change that needs no approval.
func (a *applier) applyChange(op record.Change) error {
	set, needed, err := a.evaluate(op)
	if err != nil {
		return err
	}
	if len(needed) > 0 {
		return ErrNeedsApproval
	}
	a.putInForce(set)
	return nil
}

// applyProposal records a change that waits for the organisations concerned to approve it. A change that needs no
// approval comes into force at once.
func (a *applier) applyProposal(op record.Proposal) error {
	if _, open := a.decls.proposals[op.Change.ID]; open {
		return ErrDuplicate
	}
	set, needed, err := a.evaluate(op.Change)
	if err != nil {
		return err
	}
	if len(needed) == 0 {
		a.putInForce(set)
		return nil
	}
	if len(a.decls.proposals) >= maxProposals {
		return ErrTooManyProposals
	}
	before, err := a.objectsInForce(op.Change)
	if err != nil {
		return err
	}
	p := &proposal{Before: before, Proposal: Proposal{
		Change: op.Change, Recorded: a.offset, Time: a.env.Time, Needed: needed,
	}}
	a.decls.mu.Lock()
	defer a.decls.mu.Unlock()
	a.decls.proposals[op.Change.ID] = p
	return nil
}

// applyVerdict records an organisation's approval or rejection; the last approval brings the change into force.
func (a *applier) applyVerdict(op record.Verdict) error {
	p, open := a.decls.proposals[op.Proposal]
	if !open {
		return ErrNotFound
	}
	org, known := a.decls.set.Organisation(op.Organisation)
	if !known || org.ApprovalKey == "" || org.ApprovalKey != op.Key {
		return ErrKeyNotGranted
	}
	if !slices.Contains(p.Needed, op.Organisation) {
		return ErrKeyNotGranted
	}
	if !op.Approve {
		a.dropProposal(op.Proposal)
		return nil
	}
	return a.approve(p, op.Organisation)
}

// approve adds an approval. If the named objects have changed since the proposal was recorded, it is dropped: its
// author and the organisations that approved it saw other terms than those it would now replace.
func (a *applier) approve(p *proposal, org model.OrganisationID) error {
	if slices.Contains(p.Approved, org) {
		return ErrDuplicate
	}
	now, err := a.objectsInForce(p.Change)
	if err != nil || string(now) != string(p.Before) {
		a.dropProposal(p.Change.ID)
		return ErrConflict
	}
	set, err := a.patchedSet(p.Change)
	if err != nil {
		a.dropProposal(p.Change.ID)
		return err
	}
	a.decls.mu.Lock()
	p.Approved = sortedUnique(append(slices.Clone(p.Approved), org))
	// Changes made since the proposal was recorded can mean that more organisations must approve it.
	p.Needed = sortedUnique(append(slices.Clone(p.Needed), a.cfg.Approvers(a.decls.set, set)...))
	a.decls.mu.Unlock()
	if len(p.Approved) < len(p.Needed) {
		return nil
	}
	a.dropProposal(p.Change.ID)
	a.putInForce(set)
	return nil
}

// evaluate returns the set that the change leads to and the organisations that must approve it.
func (a *applier) evaluate(change record.Change) (decl.Set, []model.OrganisationID, error) {
	if change.Base != a.decls.offset {
		return decl.Set{}, nil, ErrConflict
	}
	set, err := a.patchedSet(change)
	if err != nil {
		return decl.Set{}, nil, err
	}
	return set, sortedUnique(slices.Clone(a.cfg.Approvers(a.decls.set, set))), nil
}

// patchedSet returns the set in force with the change applied, after checking it.
func (a *applier) patchedSet(change record.Change) (decl.Set, error) {
	patch, err := a.cfg.ParsePatch(change.Contents)
	if err != nil {
		return decl.Set{}, asInvalid(err)
	}
	set, err := a.cfg.ApplyPatch(a.decls.set, patch)
	if err != nil {
		return decl.Set{}, asInvalid(err)
	}
	if err := a.cfg.CheckSet(set); err != nil {
		return decl.Set{}, asInvalid(err)
	}
	return set, nil
}

// asInvalid wraps the error in ErrInvalid and keeps its text, which tells the operator which object is invalid.
func asInvalid(err error) error {
	if errors.Is(err, ErrInvalid) {
		return err
	}
	return fmt.Errorf("%w: %w", ErrInvalid, err)
}

// objectsInForce returns the JSON of the objects that the change names, as they are in force.
func (a *applier) objectsInForce(change record.Change) ([]byte, error) {
	patch, err := a.cfg.ParsePatch(change.Contents)
	if err != nil {
		return nil, asInvalid(err)
	}
	data, err := json.Marshal(selectObjects(a.decls.set, patch))
	if err != nil {
		return nil, asInvalid(err)
	}
	return data, nil
}

// selectObjects returns the objects of the set that the patch names.
func selectObjects(set decl.Set, patch decl.Patch) decl.Set {
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
		Organisations: filterByName(set.Organisations, orgs, func(o decl.Organisation) model.OrganisationID { return o.Name }),
		Teams:         filterByName(set.Teams, teams, func(t decl.Team) model.TeamID { return t.Name }),
		Classes:       filterByName(set.Classes, classes, func(c decl.Class) model.ClassID { return c.Name }),
		DataCentres:   filterByName(set.DataCentres, centres, func(c decl.DataCentre) model.DataCentreID { return c.Name }),
	}
}

// filterByName returns the objects whose name is in names, in name order.
func filterByName[T any, N ~string](objects []T, names []N, name func(T) N) []T {
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

func (a *applier) dropProposal(id string) {
	a.decls.mu.Lock()
	defer a.decls.mu.Unlock()
	delete(a.decls.proposals, id)
}

// putInForce brings the set into force. It first checks what the envelope has bound so far against the old limits,
// which applied when it was bound.
func (a *applier) putInForce(set decl.Set) {
	a.checkLimits()
	a.cfg.Invariants.Check(invar.ConfigForward, a.offset >= a.decls.offset,
		"declarations of offset %d would follow those of %d", a.offset, a.decls.offset)
	a.decls.put(set, a.offset)
	a.emit(DeclarationsChanged{Offset: a.offset, Set: set})
}

func sortedUnique[T ~string](items []T) []T {
	slices.Sort(items)
	return slices.Compact(items)
}
