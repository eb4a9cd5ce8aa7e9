package daemon

import (
	"encoding/json"

	"go.uber.org/zap"

	"arbutuswing.example/entry/internal/admin"
	"arbutuswing.example/internal/config"
	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/invar"
	"arbutuswing.example/internal/lease"
	"arbutuswing.example/internal/member"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/once"
	"arbutuswing.example/internal/peer"
	"arbutuswing.example/internal/route"
	"arbutuswing.example/internal/sched"
	"arbutuswing.example/internal/state"
	"arbutuswing.example/internal/stream"
)

// stateDump is the section of the dump about the state machine. It leaves out single jobs, which GET /v1/jobs/{id} returns.
type stateDump struct {
	Offset             model.Offset                 `json:"offset"`
	DeclarationsOffset model.Offset                 `json:"declarations-offset"`
	Declarations       decl.Set                     `json:"declarations"`
	Members            []state.Member               `json:"members"`
	Workers            []state.Worker               `json:"workers"`
	Usage              map[model.TeamID]state.Usage `json:"usage"`
	UnfinishedJobs     int                          `json:"unfinished-jobs"`
}

type stateMachineDumper struct{ machine *state.Machine }

// Dump returns the state of the state machine without its jobs.
func (d stateMachineDumper) Dump() any {
	set, offset := d.machine.Declarations()
	members, _ := d.machine.Members()
	return stateDump{
		Offset: d.machine.Offset(), DeclarationsOffset: offset, Declarations: set, Members: members,
		Workers: d.machine.Workers(""), Usage: d.machine.Usage(),
		UnfinishedJobs: len(d.machine.Jobs(state.JobFilter{Unfinished: true})),
	}
}

type invariantDumper struct{ checker *invar.Checker }

// Dump returns the number of violations by invariant.
func (d invariantDumper) Dump() any { return d.checker.Violations() }

type onceDumper struct{ service *once.Service }

// Dump returns the number of entries of the at-most-once table.
func (d onceDumper) Dump() any {
	return struct {
		Entries int `json:"entries"`
	}{d.service.Size()}
}

func newAdmin(
	settings config.Entry, machine *state.Machine, recordStream *stream.Stream, members *member.Service,
	leases *lease.Manager, placer *sched.Placer, router *route.Router, claims *once.Service, client *peer.Client,
	server *peer.Server, health *health, checker *invar.Checker, log *zap.Logger,
) (*admin.Server, error) {
	return admin.New(admin.Config{
		Address: settings.AdminAddress, Instance: settings.Instance, DataCentre: settings.DataCentre,
		Version: Version, OperatorKey: settings.OperatorKey, State: stateView{machine}, Submitter: recordStream,
		NotRecorded: stream.ErrNotRecorded, Log: log, Ready: health.check,
		Connectivity: func() string { return string(members.Connectivity().State) },
		Violations:   func() map[string]int { return byName(checker.Violations()) },
		Sections: []admin.Section{
			{Name: "state", Dumper: stateMachineDumper{machine}},
			{Name: "stream", Dumper: recordStream},
			{Name: "member", Dumper: members},
			{Name: "peer-client", Dumper: client},
			{Name: "peer-server", Dumper: server},
			{Name: "lease", Dumper: leases},
			{Name: "placer", Dumper: placer},
			{Name: "route", Dumper: router},
			{Name: "once", Dumper: onceDumper{claims}},
			{Name: "invariants", Dumper: invariantDumper{checker}},
		},
	})
}

func byName(violations map[invar.Name]int) map[string]int {
	out := make(map[string]int, len(violations))
	for name, n := range violations {
		out[string(name)] = n
	}
	return out
}

// logDump logs the state dump, one message per section.
func logDump(log *zap.Logger, sections []admin.Section) {
	for _, section := range sections {
		contents, err := json.Marshal(section.Dumper.Dump())
		if err != nil {
			log.Warn("encoding a section of the state dump failed", zap.String("section", section.Name), zap.Error(err))
			continue
		}
		log.Info("state dump", zap.String("section", section.Name), zap.ByteString("contents", contents))
	}
}
