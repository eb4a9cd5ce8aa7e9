package admin

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/opapi"
	"arbutuswing.example/internal/state"
)

func (s *Server) status(*fasthttp.RequestCtx) reply {
	set, offset := s.config.State.Declarations()
	members, _ := s.config.State.Members()
	dataCentres := dataCentreStatus(set, s.config.State.Workers(""))
	return ok(opapi.Status{
		Instance: s.config.Instance, DataCentre: s.config.DataCentre, Version: s.config.Version,
		Connectivity: s.config.Connectivity(), Applied: s.config.State.Offset(), Declarations: offset,
		Proposals: len(s.config.State.Proposals()), Members: members, DataCentres: dataCentres,
		Teams: teamStatus(set, s.config.State.Usage(), dataCentres), Violations: s.config.Violations(),
	})
}

// dataCentreStatus counts the workers and sums their resources by data centre. It includes data centres that have workers
// but no declaration.
func dataCentreStatus(set decl.Set, workers []state.Worker) []opapi.DataCentreStatus {
	sums := make(map[model.DataCentreID]opapi.DataCentreStatus)
	for _, dc := range set.DataCentres {
		sums[dc.Name] = opapi.DataCentreStatus{Name: dc.Name, Service: dc.Service}
	}
	for _, worker := range workers {
		sum := sums[worker.DataCentre]
		sum.Name = worker.DataCentre
		sum.Workers++
		switch {
		case worker.Lost:
			sum.Lost++
		case worker.Suspicion != model.NoOffset:
			sum.Suspected++
		}
		if !worker.Lost {
			sum.Capacity, sum.Committed = sum.Capacity.Plus(worker.Capacity), sum.Committed.Plus(worker.Committed)
		}
		sums[worker.DataCentre] = sum
	}
	byName := func(a, b opapi.DataCentreStatus) int { return cmp.Compare(a.Name, b.Name) }
	return slices.SortedFunc(maps.Values(sums), byName)
}

func teamStatus(set decl.Set, usage map[model.TeamID]state.Usage, dataCentres []opapi.DataCentreStatus) []opapi.TeamStatus {
	var capacity model.Resources
	for _, dc := range dataCentres {
		capacity = capacity.Plus(dc.Capacity)
	}
	shares := 0.0
	for _, team := range set.Teams {
		shares += team.Share
	}
	teams := make([]opapi.TeamStatus, 0, len(set.Teams))
	for _, team := range set.Teams {
		used := usage[team.Name]
		teams = append(teams, opapi.TeamStatus{
			Name: team.Name, Usage: used, Limit: team.Limit, DueShare: team.Share / shares,
			UsedShare: used.Resources.DominantShare(capacity),
		})
	}
	return teams
}

func (s *Server) health(*fasthttp.RequestCtx) reply {
	if err := s.config.Ready(); err != nil {
		return reply{fasthttp.StatusServiceUnavailable, opapi.Health{Reason: err.Error()}}
	}
	return ok(opapi.Health{Ready: true})
}

// dump encodes the configured sections in their order.
func (s *Server) dump(*fasthttp.RequestCtx) reply {
	answer := opapi.Dump{Instance: s.config.Instance, Sections: make([]opapi.Section, 0, len(s.config.Sections))}
	for _, section := range s.config.Sections {
		contents, err := json.Marshal(section.Dumper.Dump())
		if err != nil {
			// A section that can't be encoded must not suppress the others.
			contents, _ = json.Marshal(fmt.Sprintf("not shown: %s", err))
		}
		answer.Sections = append(answer.Sections, opapi.Section{Name: section.Name, Contents: contents})
	}
	return ok(answer)
}

func writeMetrics(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("text/plain; charset=utf-8")
	metrics.WritePrometheus(ctx, true)
}
