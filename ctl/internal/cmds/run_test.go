package cmds_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"arbutuswing.example/ctl/internal/cmds"
	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/opapi"
)

const (
	declarations = "../../../examples/declarations"
	broken       = "../../../examples/broken/"
)

// server is a fake operator API. It answers with the replies for a path in order and repeats the last one, and records
// changes and keys.
type server struct {
	*httptest.Server
	answers map[string][]reply
	changes []opapi.ChangeRequest
	keys    []string
}

type reply struct {
	status int
	body   any
}

func serve(t *testing.T, answers map[string][]reply) *server {
	t.Helper()
	s := &server{answers: answers}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == opapi.ChangesPath {
			var request opapi.ChangeRequest
			assert.Check(t, json.NewDecoder(r.Body).Decode(&request))
			s.changes = append(s.changes, request)
		}
		s.keys = append(s.keys, r.Header.Get(opapi.OperatorKeyHeader)+"/"+r.Header.Get(opapi.OrganisationKeyHeader))
		queue := s.answers[r.URL.Path]
		if len(queue) == 0 {
			http.Error(w, "no answer", http.StatusTeapot)
			return
		}
		if len(queue) > 1 {
			s.answers[r.URL.Path] = queue[1:]
		}
		w.WriteHeader(queue[0].status)
		assert.Check(t, json.NewEncoder(w).Encode(queue[0].body))
	}))
	t.Cleanup(s.Close)
	return s
}

// run executes a command line against the server and returns its exit code, output and error output.
func (s *server) run(t *testing.T, args ...string) (int, string, string) {
	t.Helper()
	key := filepath.Join(t.TempDir(), "key")
	assert.NilError(t, os.WriteFile(key, []byte("secret\n"), 0o600))
	return run(append([]string{"--server", s.URL, "--key-file", key}, args...)...)
}

func run(args ...string) (int, string, string) {
	var out, err bytes.Buffer
	code := cmds.Run(context.Background(), cmds.Config{Out: &out, Err: &err}, args)
	return code, out.String(), err.String()
}

func inForce(offset model.Offset, set decl.Set) reply {
	return reply{200, opapi.Declarations{Offset: offset, Declarations: set}}
}

func declarationsWith(service decl.ServiceState) decl.Set {
	return decl.Set{
		DataCentres:   []decl.DataCentre{{Name: "dc1", Region: "west", Service: service}},
		Organisations: []decl.Organisation{{Name: "harbour", ApprovalKey: model.HashKey("x")}},
		Teams:         []decl.Team{{Name: "pricing", Organisation: "harbour", Share: 1}},
	}
}

func changeReply(status int, outcome opapi.Outcome) reply {
	return reply{status, opapi.ChangeAnswer{ID: "c", Outcome: outcome, Offset: 9, Waiting: []model.OrganisationID{"harbour"}}}
}

func conflictAt(offset model.Offset) reply {
	return reply{409, opapi.Error{
		Error: opapi.KindConflict, Detail: "the change is based on offset 4, but offset 5 is in force", Outcome: opapi.NotRun,
		OffsetInForce: &offset,
	}}
}

// Guards against changes of exit codes, on which scripts rely.
func TestOfflineExitCodes(t *testing.T) {
	tests := []struct {
		args []string
		code int
		want string
	}{
		{[]string{"check", declarations}, 0, "sound: 2 organisations, 4 teams, 5 classes, 3 data centres\n"},
		{[]string{"check", broken + "zero-share.json"}, 1, broken + "zero-share.json:4:61: teams[0].share: must be greater than 0\n"},
		{[]string{"check", "no-such-directory"}, 1, "fault in the input: reading declarations"},
		{[]string{"check"}, 2, "wrong usage: name declarations"},
		{[]string{"no-such-command"}, 2, "Unknown command"},
		{[]string{"check", "--no-such-option"}, 2, "unknown flag"},
		{[]string{"schema", "nothing"}, 2, `no schema is named "nothing"`},
		{[]string{"status"}, 2, "--server is needed"},
		{[]string{"--server", "http://localhost:1", "status"}, 2, "host names are not resolved"},
		{[]string{"keys", "grant", "pricing"}, 2, "give either --hash or --team-key-file"},
		{[]string{"datacentre", "out"}, 2, "DATA-CENTRE"},
		{[]string{"apply", "--help"}, 0, "means that another change came first"},
		{[]string{"--help"}, 0, "server unreachable"},
		{[]string{"version"}, 0, "aw-ctl " + cmds.Version},
		{[]string{"diff", declarations, declarations}, 0, "no difference\n"},
	}
	for _, test := range tests {
		t.Run(strings.Join(test.args, " "), func(t *testing.T) {
			code, out, err := run(test.args...)
			assert.Equal(t, code, test.code, "%s%s", out, err)
			assert.Assert(t, strings.Contains(out+err, test.want), "%s%s", out, err)
		})
	}
}

// Guards against a check that stops at the first file with problems.
func TestCheckReportsAllFiles(t *testing.T) {
	code, _, err := run("check", broken+"unknown-key.json", broken+"duration-without-unit.json")
	assert.Equal(t, code, 1)
	assert.Equal(t, strings.Count(err, "\n"), 2, err)
}

// Guards against an apply that hides a conflict, a pending approval or an unreachable server.
func TestApply(t *testing.T) {
	tests := []struct {
		name   string
		answer reply
		code   int
		want   string
	}{
		{"in force", changeReply(200, opapi.InForce), 0, "in force at offset 9\n"},
		{"waiting", changeReply(202, opapi.Waiting), 5, "proposal c waits for the approval of harbour\n"},
		{"conflict", conflictAt(5), 3, "conflict: the change is based on offset 4, but offset 5 is in force\n"},
		{"unavailable", reply{503, opapi.Error{Error: opapi.KindUnavailable, Detail: "nothing was recorded"}}, 4, "nothing was recorded\n"},
		{"unknown", reply{504, opapi.Error{Error: opapi.KindUnknown, Detail: "it may still be recorded"}}, 4, "it may still be recorded\n"},
		{"wrong key", reply{401, opapi.Error{Error: opapi.KindWrongKey, Detail: "header is wrong"}}, 1, "header is wrong\n"},
		{"not an operator API", reply{502, "bad gateway"}, 4, "the server answered 502\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := serve(t, map[string][]reply{
				opapi.DeclarationsPath: {inForce(4, declarationsWith(decl.OutOfService))}, opapi.ChangesPath: {test.answer},
			})
			code, out, err := s.run(t, "apply", declarations, "--author", "ann", "--reason", "demo")
			assert.Equal(t, code, test.code, "%s%s", out, err)
			assert.Assert(t, strings.HasSuffix(out+err, test.want), "%s%s", out, err)
			assert.Equal(t, s.changes[0].Base, model.Offset(4))
			assert.Equal(t, s.changes[0].Author, "ann")
			for _, centre := range s.changes[0].Patch.Put.DataCentres {
				assert.Assert(t, centre.Name != "dc1", "a data centre out of service must remain so: %v", centre)
			}
			assert.DeepEqual(t, s.keys, []string{"secret/", "secret/"})
		})
	}
}

// Guards against a plan that is applied to declarations other than those it was made for.
func TestPlanKeepsItsBase(t *testing.T) {
	s := serve(t, map[string][]reply{
		opapi.DeclarationsPath: {inForce(4, declarationsWith(decl.InService)), inForce(6, declarationsWith(decl.InService))},
		opapi.ChangesPath:      {conflictAt(6)},
	})
	plan := filepath.Join(t.TempDir(), "plan.json")
	code, out, err := s.run(t, "plan", declarations, "--out", plan)
	assert.Equal(t, code, 0, err)
	assert.Assert(t, strings.Contains(out, "~ team pricing: "), out)
	assert.Assert(t, strings.HasSuffix(out, "based on offset 4\nneeds the approval of harbour\n"), out)
	code, _, _ = s.run(t, "apply", "--plan", plan)
	assert.Equal(t, code, 3)
	assert.Equal(t, s.changes[0].Base, model.Offset(4))
	code, _, err = s.run(t, "apply", declarations, "--base", "4")
	assert.Equal(t, code, 3)
	assert.Equal(t, err, "conflict: offset 6 is in force, not 4\n")
	assert.Equal(t, len(s.changes), 1)
}

// Guards against a data centre or key that can't be taken out of use while others change the declarations.
func TestSingleChangesAreRepeatedAfterConflicts(t *testing.T) {
	tests := []struct {
		args []string
		want decl.Patch
	}{
		{[]string{"datacentre", "out", "dc1"}, decl.Patch{Put: decl.Set{DataCentres: declarationsWith(decl.OutOfService).DataCentres}}},
		{
			[]string{"keys", "withdraw", "pricing", "--hash", string(model.HashKey("k"))},
			decl.Patch{WithdrawKeys: []decl.KeyChange{{Team: "pricing", Key: model.HashKey("k")}}},
		},
	}
	for _, test := range tests {
		s := serve(t, map[string][]reply{
			opapi.DeclarationsPath: {inForce(4, declarationsWith(decl.InService)), inForce(5, declarationsWith(decl.InService))},
			opapi.ChangesPath:      {conflictAt(5), changeReply(200, opapi.InForce)},
		})
		code, out, err := s.run(t, test.args...)
		assert.Equal(t, code, 0, "%s%s", out, err)
		assert.Equal(t, len(s.changes), 2)
		assert.Equal(t, s.changes[1].Base, model.Offset(5))
		assert.DeepEqual(t, s.changes[1].Patch, test.want)
	}
}

// Guards against a diff with the declarations in force that requires two paths, and against settings that are ignored.
func TestDiffAgainstServer(t *testing.T) {
	s := serve(t, map[string][]reply{opapi.DeclarationsPath: {inForce(4, declarationsWith(decl.Lost))}})
	settings := filepath.Join(t.TempDir(), "ctl.json")
	assert.NilError(t, os.WriteFile(settings, []byte(`{"server": "`+s.URL+`", "key-file": "/nowhere"}`), 0o600))
	key := filepath.Join(t.TempDir(), "key")
	assert.NilError(t, os.WriteFile(key, []byte("secret"), 0o600))
	code, out, err := run("--settings", settings, "--key-file", key, "diff", declarations)
	assert.Equal(t, code, 0, err)
	assert.Assert(t, strings.Contains(out, "+ class scoring\n"), out)
	assert.Assert(t, !strings.Contains(out, "data centre dc1"), "files without a state of service must not change it: %s", out)
	code, _, err = run("--settings", settings, "status")
	assert.Equal(t, code, 1)
	assert.Assert(t, strings.HasPrefix(err, "fault in the input: reading a key: open /nowhere"), err)
}

// Guards against an organisation's approval key that is sent as the operator key.
func TestVerdicts(t *testing.T) {
	waiting := opapi.VerdictAnswer{Proposal: "c", Outcome: opapi.Waiting, Waiting: []model.OrganisationID{"orchard"}}
	vetoed := opapi.VerdictAnswer{Proposal: "c", Outcome: opapi.Vetoed}
	s := serve(t, map[string][]reply{opapi.VerdictPath("c"): {{202, waiting}, {200, vetoed}}})
	code, out, _ := s.run(t, "approve", "c", "--organisation", "harbour")
	assert.Equal(t, code, 5)
	assert.Equal(t, out, "approved; waits for orchard\n")
	code, out, _ = s.run(t, "veto", "c", "--organisation", "harbour")
	assert.Equal(t, code, 0)
	assert.Equal(t, out, "vetoed\n")
	assert.DeepEqual(t, s.keys, []string{"/secret", "/secret"})
	code, _, _ = s.run(t, "veto", "../status", "--organisation", "harbour")
	assert.Equal(t, code, 1)
}

// Guards against an unreachable server that is reported as invalid input.
func TestUnreachable(t *testing.T) {
	s := serve(t, nil)
	s.Close()
	code, _, err := s.run(t, "status")
	assert.Equal(t, code, 4, err)
}
