package admin_test

import (
	"context"
	"errors"
	"slices"
	"sync"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/opapi"
	"arbutuswing.example/internal/record"
	"arbutuswing.example/internal/state"
)

var errNotRecorded = errors.New("not recorded")

// fold is a small stand-in for the folded state and the log in front of it.
type fold struct {
	mu        sync.Mutex
	set       decl.Set
	inForce   model.Offset
	offset    model.Offset
	proposals []opapi.Proposal
	workers   []state.Worker
	usage     map[model.TeamID]state.Usage
	// fail, if set, is what Submit returns; before runs ahead of each operation, like another instance's record.
	fail   error
	before func()
}

func (f *fold) Offset() model.Offset                         { return f.offset }
func (f *fold) Declarations() (decl.Set, model.Offset)       { return f.set, f.inForce }
func (f *fold) Proposals() []opapi.Proposal                  { return slices.Clone(f.proposals) }
func (f *fold) Members() ([]state.Member, model.Offset)      { return nil, f.offset }
func (f *fold) Workers(model.DataCentreID) []state.Worker    { return f.workers }
func (f *fold) Usage() map[model.TeamID]state.Usage          { return f.usage }
func (f *fold) putInForce(set decl.Set, offset model.Offset) { f.set, f.inForce = set, offset }

func (f *fold) Submit(_ context.Context, ops ...record.Op) ([]error, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fail != nil {
		return nil, f.fail
	}
	results := make([]error, len(ops))
	for i, op := range ops {
		if f.before != nil {
			f.before()
		}
		f.offset++
		results[i] = f.apply(op)
	}
	return results, nil
}

func (f *fold) apply(op record.Op) error {
	switch op := op.(type) {
	case record.Change:
		return f.change(op)
	case record.Proposal:
		next, err := f.result(op.Change)
		if err != nil {
			return err
		}
		f.proposals = append(f.proposals, opapi.Proposal{
			Change: op.Change, Recorded: f.offset, Waiting: decl.Approvers(f.set, next),
		})
		return nil
	case record.Verdict:
		return f.verdict(op)
	default:
		return state.ErrInvalid
	}
}

func (f *fold) change(op record.Change) error {
	next, err := f.result(op)
	if err != nil {
		return err
	}
	if len(decl.Approvers(f.set, next)) > 0 {
		return state.ErrNeedsApproval
	}
	f.putInForce(next, f.offset)
	return nil
}

func (f *fold) result(op record.Change) (decl.Set, error) {
	if op.Base != f.inForce {
		return decl.Set{}, state.ErrConflict
	}
	patch, err := decl.ParsePatch(op.ID, op.Contents)
	if err != nil {
		return decl.Set{}, err
	}
	return f.set.Apply(patch)
}

func (f *fold) verdict(op record.Verdict) error {
	at := slices.IndexFunc(f.proposals, func(p opapi.Proposal) bool { return p.Change.ID == op.Proposal })
	if at < 0 {
		return state.ErrNotFound
	}
	proposal := f.proposals[at]
	f.proposals = slices.Delete(f.proposals, at, at+1)
	if !op.Approve {
		return nil
	}
	proposal.Approved = append(proposal.Approved, op.Organisation)
	isVoter := func(name model.OrganisationID) bool { return name == op.Organisation }
	proposal.Waiting = slices.DeleteFunc(slices.Clone(proposal.Waiting), isVoter)
	if len(proposal.Waiting) > 0 {
		f.proposals = append(f.proposals, proposal)
		return nil
	}
	next, err := f.result(proposal.Change)
	if err != nil {
		return err
	}
	f.putInForce(next, f.offset)
	return nil
}
