package admin

import (
	"slices"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/opapi"
	"arbutuswing.example/internal/record"
)

// proposals lists the open proposals: all of them for operators, and for an organisation those that wait for its approval
// or that it has approved.
func (s *Server) proposals(ctx *fasthttp.RequestCtx) reply {
	set, _ := s.config.State.Declarations()
	organisation, _, isOrganisation := organisationOf(ctx, set)
	operator := s.isOperator(ctx)
	if !operator && !isOrganisation {
		return refuse(fasthttp.StatusUnauthorized, opapi.KindWrongKey, "header %s or %s is missing or wrong",
			opapi.OperatorKeyHeader, opapi.OrganisationKeyHeader)
	}
	answer := opapi.Proposals{Proposals: []opapi.Proposal{}}
	for _, proposal := range s.config.State.Proposals() {
		if operator || isInvolved(proposal, organisation) {
			proposal.Effect = effect(set, proposal)
			answer.Proposals = append(answer.Proposals, proposal)
		}
	}
	return ok(answer)
}

func isInvolved(proposal opapi.Proposal, organisation model.OrganisationID) bool {
	return slices.Contains(proposal.Waiting, organisation) || slices.Contains(proposal.Approved, organisation)
}

// effect describes how a proposal would change the present declarations.
func effect(set decl.Set, proposal opapi.Proposal) string {
	patch, err := decl.ParsePatch(proposal.Change.ID, proposal.Change.Contents)
	if err != nil {
		return err.Error()
	}
	next, err := set.Apply(patch)
	if err != nil {
		return err.Error()
	}
	return decl.RenderDiff(set, next)
}

// verdict records an organisation's approval or veto. It requires the approval key of the organisation, not the operator
// key.
func (s *Server) verdict(ctx *fasthttp.RequestCtx) reply {
	var request opapi.VerdictRequest
	if refusal, valid := decode(ctx, &request); !valid {
		return refusal
	}
	id, _ := ctx.UserValue("id").(string)
	set, offset := s.config.State.Declarations()
	organisation, key, known := organisationOf(ctx, set)
	if !known || organisation != request.Organisation {
		return refuse(fasthttp.StatusUnauthorized, opapi.KindWrongKey,
			"header %s does not hold the approval key of organisation %q", opapi.OrganisationKeyHeader, request.Organisation)
	}
	proposal, open := s.proposal(id)
	if !open {
		return refuse(fasthttp.StatusNotFound, opapi.KindNotFound, "proposal %q is not open", id)
	}
	if !slices.Contains(proposal.Waiting, organisation) {
		return conflict(offset, "proposal %q does not wait for organisation %q", id, organisation)
	}
	operation := record.Verdict{Proposal: id, Organisation: organisation, Key: key, Approve: request.Approve}
	if refusal, recorded := s.submit(ctx, offset, operation); !recorded {
		return refusal
	}
	s.config.Log.Info("verdict recorded", zap.String("proposal", id), zap.String("organisation", string(organisation)),
		zap.Bool("approve", request.Approve))
	return s.verdictReply(id, request.Approve)
}

func (s *Server) proposal(id string) (opapi.Proposal, bool) {
	for _, proposal := range s.config.State.Proposals() {
		if proposal.Change.ID == id {
			return proposal, true
		}
	}
	return opapi.Proposal{}, false
}

func (s *Server) verdictReply(id string, approve bool) reply {
	answer := opapi.VerdictAnswer{Proposal: id, Outcome: opapi.Vetoed}
	if approve {
		answer.Outcome = opapi.InForce
		if proposal, open := s.proposal(id); open {
			answer.Outcome, answer.Waiting = opapi.Waiting, proposal.Waiting
			return reply{fasthttp.StatusAccepted, answer}
		}
	}
	return ok(answer)
}
