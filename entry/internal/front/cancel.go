package front

import (
	"github.com/valyala/fasthttp"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/record"
	"arbutuswing.example/internal/state"
)

// cancelCall selects the jobs to cancel: either by ID, or all unfinished ones of a team and, if set, a class.
type cancelCall struct {
	Jobs  []model.JobID `json:"jobs,omitempty"`
	Team  model.TeamID  `json:"team,omitempty"`
	Class model.ClassID `json:"class,omitempty"`
}

// cancelAnswer is the answer to a cancelCall.
type cancelAnswer struct {
	Cancelled []model.JobID `json:"cancelled"`
	// Refused holds the reason for each job that was not cancelled.
	Refused map[model.JobID]string `json:"refused,omitempty"`
}

func (s *Server) handleCancel(ctx *fasthttp.RequestCtx) {
	if !s.ready(ctx) {
		return
	}
	var call cancelCall
	if err := decodeStrict(ctx.PostBody(), &call); err != nil {
		refuse(ctx, fasthttp.StatusBadRequest, reasonBadRequest, err.Error())
		return
	}
	if len(call.Jobs) == 0 && call.Team == "" {
		refuse(ctx, fasthttp.StatusBadRequest, reasonBadRequest, "name jobs, or a team")
		return
	}
	if !s.mayUseKey(ctx) {
		return
	}
	jobs := call.Jobs
	if len(jobs) == 0 {
		for _, job := range s.cfg.View.Jobs(state.JobFilter{Team: call.Team, Class: call.Class, Unfinished: true}) {
			jobs = append(jobs, job.Spec.ID)
		}
	}
	s.cancelJobs(ctx, jobs)
}

func (s *Server) mayUseKey(ctx *fasthttp.RequestCtx) bool {
	if teamKey(ctx) == "" || s.cfg.Connectivity.MayCheckKeys() {
		return true
	}
	refuse(ctx, fasthttp.StatusServiceUnavailable, reasonCutOff,
		"this data centre is cut off, so a withdrawn key could not be told from a granted one")
	return false
}

// cancelJobs records the cancellations in batches of bounded size, so that other operations are recorded in between.
func (s *Server) cancelJobs(ctx *fasthttp.RequestCtx, jobs []model.JobID) {
	out := cancelAnswer{Cancelled: []model.JobID{}, Refused: make(map[model.JobID]string)}
	for len(jobs) > 0 {
		batch := jobs[:min(len(jobs), maxCancelBatch)]
		jobs = jobs[len(batch):]
		ops := make([]record.Op, 0, len(batch))
		for _, id := range batch {
			ops = append(ops, record.JobCancelled{Job: id, Key: teamKey(ctx)})
		}
		results, ok := s.record(ctx, ops...)
		if !ok {
			// Cancelling is idempotent, so the client may repeat the whole call.
			return
		}
		for i, id := range batch {
			if results[i] == nil {
				out.Cancelled = append(out.Cancelled, id)
			} else {
				out.Refused[id] = results[i].Error()
			}
		}
	}
	writeJSON(ctx, fasthttp.StatusOK, out)
}
