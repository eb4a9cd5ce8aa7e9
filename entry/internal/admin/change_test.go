package admin_test

import (
	"context"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/opapi"
)

func changeOf(base model.Offset, patch string) call {
	return call{
		method: "POST", path: opapi.ChangesPath, operator: operatorKey,
		body: fmt.Sprintf(`{"id": "change-1", "base": %d, "author": "ann", "patch": %s}`, base, patch),
	}
}

const (
	addClass          = `{"put": {"classes": [{"name": "quote", "target": {"answered-within": "2s"}}]}}`
	raiseShare        = `{"put": {"teams": [{"name": "pricing", "organisation": "harbour", "share": 9}]}}`
	removeDataCentre  = `{"remove": {"data-centres": ["dc1"]}}`
	removeUnknownTeam = `{"remove": {"teams": ["nobody"]}}`
	sameClass         = `{"put": {"classes": [{"name": "scoring"}]}}`
)

// TestChange guards against a change that is accepted although its base is outdated, or refused for a wrong reason.
func TestChange(t *testing.T) {
	tests := []struct {
		name   string
		call   call
		status int
		kind   opapi.ErrorKind
		detail string
	}{
		{"accepted", changeOf(3, addClass), 200, "", ""},
		{"unchanged", changeOf(3, sameClass), 200, "", ""},
		{"stale base", changeOf(2, addClass), 409, opapi.KindConflict, "the change is based on offset 2, but offset 3 is in force"},
		{"unsound", changeOf(3, removeDataCentre), 422, opapi.KindInvalid, "the declarations would not be sound"},
		{"unknown object", changeOf(3, removeUnknownTeam), 422, opapi.KindInvalid, `removing team "nobody": not declared`},
		{"unknown key", changeOf(3, `{"add": {}}`), 400, opapi.KindBadRequest, "malformed message"},
		{"waits", changeOf(3, raiseShare), 202, "", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := &fakeState{set: testDeclarations(), inForce: 3, offset: 5}
			s := start(t, f, nil)
			status, body := s.do(test.call)
			assert.Equal(t, status, test.status, "%s", body)
			answer := decodeAnswer[opapi.Error](t, body)
			assert.Equal(t, answer.Error, test.kind)
			assert.Equal(t, answer.Detail, test.detail)
			if test.kind != "" {
				assert.Equal(t, answer.Outcome, opapi.NotRun)
				assert.Equal(t, f.offset, model.Offset(5), "a refused change must record nothing")
			}
			if test.kind == opapi.KindConflict {
				assert.Equal(t, *answer.OffsetInForce, model.Offset(3))
			}
		})
	}
}

// TestSubmitErrors guards against the outcome "not-run" for a change that may still be recorded.
func TestSubmitErrors(t *testing.T) {
	tests := []struct {
		err     error
		status  int
		outcome opapi.Outcome
	}{
		{fmt.Errorf("queue full: %w", errNotRecorded), 503, opapi.NotRun},
		{context.DeadlineExceeded, 504, opapi.Unknown},
	}
	for _, test := range tests {
		s := start(t, &fakeState{set: testDeclarations(), inForce: 3, submitErr: test.err}, nil)
		status, body := s.do(changeOf(3, addClass))
		assert.Equal(t, status, test.status)
		assert.Equal(t, decodeAnswer[opapi.Error](t, body).Outcome, test.outcome)
	}
}

// TestConcurrentChange guards against a lost update when another instance's change is recorded first.
func TestConcurrentChange(t *testing.T) {
	f := &fakeState{set: testDeclarations(), inForce: 3, offset: 5}
	f.before = func() {
		f.offset++
		f.putInForce(f.set, f.offset)
	}
	s := start(t, f, nil)
	status, body := s.do(changeOf(3, addClass))
	assert.Equal(t, status, 409)
	answer := decodeAnswer[opapi.Error](t, body)
	assert.Equal(t, answer.Detail, "the change is based on offset 3, but offset 6 is in force")
	assert.Equal(t, *answer.OffsetInForce, model.Offset(6))
}

// TestKeysAndDataCentresNeedNoApproval guards against the withdrawal of a key, or of a data centre from service, that is
// delayed because other parts of the same change need approval.
func TestKeysAndDataCentresNeedNoApproval(t *testing.T) {
	f := &fakeState{set: testDeclarations(), inForce: 3, offset: 5}
	s := start(t, f, nil)
	patch := fmt.Sprintf(`{
		"put": {
			"teams": [{"name": "pricing", "organisation": "harbour", "share": 9}],
			"data-centres": [{"name": "dc1", "region": "west", "service": "out"}]
		},
		"withdraw-keys": [{"team": "pricing", "key": %q}]}`, teamKey)
	status, body := s.do(changeOf(3, patch))
	assert.Equal(t, status, 202, "%s", body)
	answer := decodeAnswer[opapi.ChangeAnswer](t, body)
	assert.DeepEqual(t, answer, opapi.ChangeAnswer{
		ID: "change-1", Outcome: opapi.Waiting, Offset: 6, Waiting: []model.OrganisationID{"harbour"}, PartInForce: true,
	})
	set, _ := f.Declarations()
	team, _ := set.Team("pricing")
	assert.Equal(t, len(team.Keys), 0)
	assert.Equal(t, team.Share, 3.0)
	dc, _ := set.DataCentre("dc1")
	assert.Equal(t, dc.Service, decl.OutOfService)
}

// TestVerdicts guards against proposals that a wrong organisation decides on, or that are in force before all organisations
// have approved.
func TestVerdicts(t *testing.T) {
	f := &fakeState{set: testDeclarations(), inForce: 3, offset: 5}
	s := start(t, f, nil)
	move := `{"put": {"teams": [{"name": "pricing", "organisation": "orchard", "share": 3}]}}`
	status, _ := s.do(changeOf(3, move))
	assert.Equal(t, status, 202)

	sendVerdict := func(organisation, key string, approve bool) (int, []byte) {
		return s.do(call{
			method: "POST", path: opapi.VerdictPath("change-1"), organisation: key,
			body: fmt.Sprintf(`{"organisation": %q, "approve": %t}`, organisation, approve),
		})
	}
	status, body := s.do(call{method: "GET", path: opapi.ProposalsPath, organisation: "orchard-key"})
	assert.Equal(t, status, 200)
	proposals := decodeAnswer[opapi.Proposals](t, body).Proposals
	assert.Equal(t, len(proposals), 1)
	assert.Equal(t, proposals[0].Effect, "~ team pricing: organisation harbour -> orchard\n")

	status, _ = sendVerdict("orchard", "harbour-key", true)
	assert.Equal(t, status, 401)
	status, body = sendVerdict("orchard", "orchard-key", true)
	assert.Equal(t, status, 202, "%s", body)
	status, _ = sendVerdict("orchard", "orchard-key", true)
	assert.Equal(t, status, 409, "an organisation may decide only once")
	_, inForce := f.Declarations()
	assert.Equal(t, inForce, model.Offset(3))
	status, body = sendVerdict("harbour", "harbour-key", true)
	assert.Equal(t, status, 200, "%s", body)
	assert.Equal(t, decodeAnswer[opapi.VerdictAnswer](t, body).Outcome, opapi.InForce)
	set, _ := f.Declarations()
	team, _ := set.Team("pricing")
	assert.Equal(t, team.Organisation, model.OrganisationID("orchard"))
	status, _ = sendVerdict("harbour", "harbour-key", false)
	assert.Equal(t, status, 404)
}

// TestVeto guards against a vetoed proposal that stays open.
func TestVeto(t *testing.T) {
	f := &fakeState{set: testDeclarations(), inForce: 3, offset: 5}
	s := start(t, f, nil)
	s.do(changeOf(3, raiseShare))
	status, body := s.do(call{
		method: "POST", path: opapi.VerdictPath("change-1"), organisation: "harbour-key",
		body: `{"organisation": "harbour", "approve": false}`,
	})
	assert.Equal(t, status, 200)
	assert.Equal(t, decodeAnswer[opapi.VerdictAnswer](t, body).Outcome, opapi.Vetoed)
	assert.Equal(t, len(f.Proposals()), 0)
	set, _ := f.Declarations()
	team, _ := set.Team("pricing")
	assert.Equal(t, team.Share, 3.0)
}
