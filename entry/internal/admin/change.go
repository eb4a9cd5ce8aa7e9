package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/opapi"
	"arbutuswing.example/internal/record"
	"arbutuswing.example/internal/state"
)

func (s *Server) declarations(*fasthttp.RequestCtx) reply {
	set, offset := s.config.State.Declarations()
	return ok(opapi.Declarations{Offset: offset, Declarations: set})
}

// change puts a change in force, or records it as a proposal if it touches terms that need approval. Changes of keys and
// data centres never wait for approval: if the rest of the change has to wait, they are put in force at once.
func (s *Server) change(ctx *fasthttp.RequestCtx) reply {
	var request opapi.ChangeRequest
	if refusal, valid := decode(ctx, &request); !valid {
		return refusal
	}
	if !decl.ValidName(request.ID) || request.Author == "" {
		return refuse(fasthttp.StatusBadRequest, opapi.KindBadRequest, "a change needs an author and an id in kebab case")
	}
	old, offset := s.config.State.Declarations()
	if request.Base != offset {
		return staleBase(request.Base, offset)
	}
	next, refusal, valid := applyPatch(old, request.Patch)
	if !valid {
		return refusal
	}
	patch := decl.Diff(old, next)
	if patch.Empty() {
		return ok(opapi.ChangeAnswer{ID: request.ID, Outcome: opapi.Unchanged, Offset: offset})
	}
	approvers := decl.Approvers(old, next)
	if len(approvers) == 0 {
		return s.putInForce(ctx, request, patch)
	}
	return s.propose(ctx, request, old, patch, approvers)
}

func staleBase(base, inForce model.Offset) reply {
	return conflict(inForce, "the change is based on offset %d, but offset %d is in force", base, inForce)
}

// applyPatch returns the declarations after a patch, or a refusal if the patch or its result is invalid.
func applyPatch(old decl.Set, patch decl.Patch) (decl.Set, reply, bool) {
	next, err := old.Apply(patch)
	if err != nil {
		return decl.Set{}, refuse(fasthttp.StatusUnprocessableEntity, opapi.KindInvalid, "%s", err), false
	}
	if problems := decl.Check(next); len(problems) > 0 {
		return decl.Set{}, refuseWithProblems(fasthttp.StatusUnprocessableEntity, opapi.KindInvalid,
			"the declarations would not be sound", problems), false
	}
	return next, reply{}, true
}

func (s *Server) putInForce(ctx context.Context, request opapi.ChangeRequest, patch decl.Patch) reply {
	operation, err := changeRecord(request, request.ID, request.Base, patch)
	if err != nil {
		return refuse(fasthttp.StatusInternalServerError, opapi.KindInternal, "%s", err)
	}
	if refusal, recorded := s.submit(ctx, request.Base, operation); !recorded {
		return refusal
	}
	_, offset := s.config.State.Declarations()
	s.config.Log.Info("change in force", zap.String("change", request.ID), zap.String("author", request.Author),
		zap.Int64("offset", int64(offset)))
	return ok(opapi.ChangeAnswer{ID: request.ID, Outcome: opapi.InForce, Offset: offset})
}

// propose puts the part of a change that needs no approval in force and records the rest as a proposal based on the result.
func (s *Server) propose(
	ctx context.Context, request opapi.ChangeRequest, old decl.Set, patch decl.Patch, approvers []model.OrganisationID,
) reply {
	now, rest := patch.Split()
	answer := opapi.ChangeAnswer{ID: request.ID, Outcome: opapi.Waiting, Offset: request.Base, Waiting: approvers}
	if !now.Empty() {
		offset, refusal, done := s.putPartInForce(ctx, request, old, now)
		if !done {
			return refusal
		}
		answer.Offset, answer.PartInForce = offset, true
	}
	operation, err := changeRecord(request, request.ID, answer.Offset, rest)
	if err != nil {
		return refuse(fasthttp.StatusInternalServerError, opapi.KindInternal, "%s", err)
	}
	if refusal, recorded := s.submit(ctx, answer.Offset, record.Proposal{Change: operation}); !recorded {
		return notePartInForce(refusal, answer.PartInForce)
	}
	s.config.Log.Info("change waits for approval", zap.String("change", request.ID),
		zap.String("organisations", fmt.Sprint(approvers)))
	return reply{fasthttp.StatusAccepted, answer}
}

// notePartInForce returns the refusal of a change. If partInForce is true, its detail also states that the keys and data
// centres of the change are in force already.
func notePartInForce(refusal reply, partInForce bool) reply {
	body, isError := refusal.body.(opapi.Error)
	if isError && partInForce {
		body.Detail = "keys and data centres of the change are in force; for the rest: " + body.Detail
		refusal.body = body
	}
	return refusal
}

func (s *Server) putPartInForce(
	ctx context.Context, request opapi.ChangeRequest, old decl.Set, now decl.Patch,
) (model.Offset, reply, bool) {
	want, refusal, valid := applyPatch(old, now)
	if !valid {
		return 0, refusal, false
	}
	operation, err := changeRecord(request, request.ID+"-now", request.Base, now)
	if err != nil {
		return 0, refuse(fasthttp.StatusInternalServerError, opapi.KindInternal, "%s", err), false
	}
	if refusal, recorded := s.submit(ctx, request.Base, operation); !recorded {
		return 0, refusal, false
	}
	set, offset := s.config.State.Declarations()
	if !set.Equal(want) {
		return 0, notePartInForce(conflict(offset,
			"another change came in between; offset %d is in force", offset), true), false
	}
	return offset, reply{}, true
}

func changeRecord(request opapi.ChangeRequest, id string, base model.Offset, patch decl.Patch) (record.Change, error) {
	contents, err := json.Marshal(patch)
	if err != nil {
		return record.Change{}, fmt.Errorf("encoding change %s: %w", id, err)
	}
	return record.Change{ID: id, Base: base, Author: request.Author, Reason: request.Reason, Contents: contents}, nil
}

// submit records one operation and waits until the state machine has applied it. If the operation was not recorded, may
// not have been, or was rejected, it returns the answer and false.
func (s *Server) submit(parent context.Context, base model.Offset, operation record.Op) (reply, bool) {
	// fasthttp cancels the context of every open call when the server shuts down; that must not cancel the change.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(parent), s.config.SubmitTimeout)
	defer cancel()
	results, err := s.config.Submitter.Submit(ctx, operation)
	if err != nil {
		return s.submitFailed(err), false
	}
	if len(results) == 1 && results[0] != nil {
		return s.rejected(base, results[0]), false
	}
	return reply{}, true
}

// rejected returns the answer for an operation that was recorded but rejected by the state machine.
func (s *Server) rejected(base model.Offset, reason error) reply {
	_, inForce := s.config.State.Declarations()
	switch {
	case errors.Is(reason, state.ErrConflict) && base != inForce:
		return staleBase(base, inForce)
	case errors.Is(reason, state.ErrNotFound):
		return refuse(fasthttp.StatusNotFound, opapi.KindNotFound, "%s", reason)
	case errors.Is(reason, state.ErrInvalid):
		return refuse(fasthttp.StatusUnprocessableEntity, opapi.KindInvalid, "%s", reason)
	case errors.Is(reason, state.ErrKeyNotGranted):
		return refuse(fasthttp.StatusForbidden, opapi.KindWrongKey, "%s", reason)
	default:
		return conflict(inForce, "%s; offset %d is in force", reason, inForce)
	}
}
