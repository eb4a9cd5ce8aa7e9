package front

import (
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/record"
	"arbutuswing.example/internal/state"
)

const (
	maxTasksPerTake  = 100
	defaultPullLease = 5 * time.Minute
	maxPullLease     = 24 * time.Hour
	minPullLease     = time.Second
)

// takeCall asks for queued tasks of the team whose key came with the call.
type takeCall struct {
	Count int            `json:"count,omitempty"`
	Lease model.Duration `json:"lease,omitempty"`
}

// takeAnswer is the answer to a takeCall.
type takeAnswer struct {
	Tasks []takenTask `json:"tasks"`
}

type takenTask struct {
	Attempt model.AttemptID `json:"attempt"`
	Payload string          `json:"payload,omitempty"`
	Lease   model.Duration  `json:"lease"`
}

// doneCall reports the ends of pulled tasks.
type doneCall struct {
	Ended []doneTask `json:"ended"`
}

type doneTask struct {
	Attempt model.AttemptID `json:"attempt"`
	Outcome model.Outcome   `json:"outcome"`
}

func (s *Server) handleTake(ctx *fasthttp.RequestCtx) {
	team, class, ok := s.openQueue(ctx)
	if !ok {
		return
	}
	call := takeCall{Count: 1, Lease: model.Duration(defaultPullLease)}
	if len(ctx.PostBody()) > 0 {
		if err := decodeStrict(ctx.PostBody(), &call); err != nil {
			refuse(ctx, fasthttp.StatusBadRequest, reasonBadRequest, err.Error())
			return
		}
	}
	if call.Count < 1 || call.Count > maxTasksPerTake || call.Lease.Std() < minPullLease ||
		call.Lease.Std() > maxPullLease {
		refuse(ctx, fasthttp.StatusBadRequest, reasonBadRequest, fmt.Sprintf(
			"count must be from 1 to %d and lease from %s to %s", maxTasksPerTake, minPullLease, maxPullLease))
		return
	}
	s.take(ctx, team, class, call)
}

// openQueue returns the team and class of a call on an open queue. If the class has no open queue or the key is not
// accepted, it answers the call and returns false.
func (s *Server) openQueue(ctx *fasthttp.RequestCtx) (model.TeamID, model.ClassID, bool) {
	if !s.ready(ctx) {
		return "", "", false
	}
	class, ok := s.classOf(ctx)
	if !ok {
		return "", "", false
	}
	if !class.Open {
		refuse(ctx, fasthttp.StatusForbidden, reasonBadRequest, fmt.Sprintf("the queue of class %q is not open", class.Name))
		return "", "", false
	}
	team, ok := s.authorise(ctx, class)
	return team, class.Name, ok
}

func (s *Server) take(ctx *fasthttp.RequestCtx, team model.TeamID, class model.ClassID, call takeCall) {
	tasks := s.cfg.View.Queued(team, class, call.Count)
	out := takeAnswer{Tasks: []takenTask{}}
	if len(tasks) == 0 {
		writeJSON(ctx, fasthttp.StatusOK, out)
		return
	}
	ops := make([]record.Op, 0, len(tasks))
	for _, task := range tasks {
		ops = append(ops, record.Pulled{Attempt: task.NextAttempt(), Key: teamKey(ctx), Lease: call.Lease})
	}
	results, ok := s.record(ctx, ops...)
	if !ok {
		return
	}
	for i, task := range tasks {
		if results[i] != nil {
			continue
		}
		_, spec, _ := s.cfg.View.Task(task.ID)
		out.Tasks = append(out.Tasks, takenTask{
			Attempt: task.NextAttempt(), Payload: spec.Payload, Lease: call.Lease,
		})
	}
	writeJSON(ctx, fasthttp.StatusOK, out)
}

func (s *Server) handleDone(ctx *fasthttp.RequestCtx) {
	team, _, ok := s.openQueue(ctx)
	if !ok {
		return
	}
	var call doneCall
	if err := decodeStrict(ctx.PostBody(), &call); err != nil {
		refuse(ctx, fasthttp.StatusBadRequest, reasonBadRequest, err.Error())
		return
	}
	ops := make([]record.Op, 0, len(call.Ended))
	for _, end := range call.Ended {
		if reason := s.checkEnd(team, end); reason != "" {
			refuse(ctx, fasthttp.StatusBadRequest, reasonBadRequest, reason)
			return
		}
		ops = append(ops, record.Ended{Attempt: end.Attempt, Outcome: end.Outcome})
	}
	if len(ops) == 0 {
		refuse(ctx, fasthttp.StatusBadRequest, reasonBadRequest, "ended: is empty")
		return
	}
	results, ok := s.record(ctx, ops...)
	if !ok {
		return
	}
	out := make(map[model.AttemptID]string, len(results))
	for i, end := range call.Ended {
		out[end.Attempt] = "recorded"
		if results[i] != nil {
			out[end.Attempt] = results[i].Error()
		}
	}
	writeJSON(ctx, fasthttp.StatusOK, out)
}

// checkEnd returns the reason why a team may not report this end, or an empty string if it may.
func (s *Server) checkEnd(team model.TeamID, end doneTask) string {
	task, spec, ok := s.cfg.View.Task(end.Attempt.Task)
	switch {
	case end.Outcome != model.OutcomeSucceeded && end.Outcome != model.OutcomeFailed:
		return fmt.Sprintf("%s: outcome must be succeeded or failed", end.Attempt)
	case !ok || spec.Team != team:
		return fmt.Sprintf("%s: no such task of team %q", end.Attempt, team)
	case task.Phase != state.PhasePulled:
		return fmt.Sprintf("%s: is not with a runner of the team", end.Attempt)
	default:
		return ""
	}
}
