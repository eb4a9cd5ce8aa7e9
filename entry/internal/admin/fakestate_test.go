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

// fakeState is a fake of the state machine and of the log, with just the rules for changes.
type fakeState struct {
	mu        sync.Mutex
	set       decl.Set
	inForce   model.Offset
	offset    model.Offset
	proposals []opapi.Proposal
	workers   []state.Worker
	usage     map[model.TeamID]state.Usage
	// submitErr, if set, is the error that Submit returns. before, if set, runs before each operation; tests use it to
	// apply a change of another instance first.
	submitErr error
	before    func()
}

func (f *fakeState) Offset() model.Offset                         { return f.offset }
func (f *fakeState) Declarations() (decl.Set, model.Offset)       { return f.set, f.inForce }
func (f *fakeState) Proposals() []opapi.Proposal                  { return slices.Clone(f.proposals) }
func (f *fakeState) Members() ([]state.Member, model.Offset)      { return nil, f.offset }
func (f *fakeState) Workers(model.DataCentreID) []state.Worker    { return f.workers }
func (f *fakeState) Usage() map[model.TeamID]state.Usage          { return f.usage }
func (f *fakeState) putInForce(set decl.Set, offset model.Offset) { f.set, f.inForce = set, offset }

func (f *fakeState) Submit(_ context.Context, ops ...record.Op) ([]error, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.submitErr != nil {
		return nil, f.submitErr
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

func (f *fakeState) apply(op record.Op) error {
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

func (f *fakeState) change(op record.Change) error {
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

func (f *fakeState) result(op record.Change) (decl.Set, error) {
	if op.Base != f.inForce {
		return decl.Set{}, state.ErrConflict
	}
	patch, err := decl.ParsePatch(op.ID, op.Contents)
	if err != nil {
		return decl.Set{}, err
	}
	return f.set.Apply(patch)
}

func (f *fakeState) verdict(op record.Verdict) error {
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
