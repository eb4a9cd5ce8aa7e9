package front

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"time"

	"github.com/valyala/fasthttp"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/record"
	"arbutuswing.example/internal/state"
)

const (
	maxTasks       = 100_000
	maxJobIDBytes  = 200
	maxCancelBatch = 500
)

// errTrailing reports text after the JSON value of a body.
var errTrailing = errors.New("unexpected text after the JSON value")

// decodeStrict decodes one JSON value; it returns an error for unknown keys and for text after the value.
func decodeStrict(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return fmt.Errorf("decoding the body: %w", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errTrailing
	}
	return nil
}

// record submits operations and returns a result for each. If they were not recorded, or may not have been, it answers the
// call and returns false.
func (s *Server) record(ctx *fasthttp.RequestCtx, ops ...record.Op) ([]error, bool) {
	if !s.cfg.Connectivity.MayRecord() {
		refuse(ctx, fasthttp.StatusServiceUnavailable, reasonLogUnavailable, "the platform's log can't be reached")
		return nil, false
	}
	wait, cancel := context.WithTimeout(context.Background(), s.cfg.SubmitTimeout)
	defer cancel()
	results, err := s.cfg.Submitter.Submit(wait, ops...)
	switch {
	case err == nil:
		return results, true
	case errors.Is(err, s.cfg.NotRecorded):
		refuse(ctx, fasthttp.StatusServiceUnavailable, reasonLogUnavailable, err.Error())
	default:
		answerUnknown(ctx, reasonLogUnavailable, err.Error())
	}
	return nil, false
}

func (s *Server) handleSubmit(ctx *fasthttp.RequestCtx) {
	if !s.ready(ctx) {
		return
	}
	var spec model.JobSpec
	if err := decodeStrict(ctx.PostBody(), &spec); err != nil {
		refuse(ctx, fasthttp.StatusBadRequest, reasonBadRequest, err.Error())
		return
	}
	spec, ok := s.checkSpec(ctx, spec)
	if !ok {
		return
	}
	if existing, ok := s.cfg.View.Job(spec.ID); ok {
		s.answerKnownJob(ctx, existing, spec)
		return
	}
	op := record.JobAccepted{Spec: spec, Key: teamKey(ctx), Submitted: time.Now().UnixNano()}
	results, ok := s.record(ctx, op)
	if !ok {
		return
	}
	s.answerSubmitted(ctx, spec, results[0])
}

func (s *Server) answerSubmitted(ctx *fasthttp.RequestCtx, spec model.JobSpec, rejection error) {
	job, known := s.cfg.View.Job(spec.ID)
	switch {
	case rejection == nil:
		writeJSON(ctx, fasthttp.StatusAccepted, jobAnswer(job))
	case errors.Is(rejection, state.ErrDuplicate) && known:
		s.answerKnownJob(ctx, job, spec)
	default:
		rejectedFailure(ctx, rejection)
	}
}

// answerKnownJob answers a submission whose job ID exists: success if the specification is the same, else a conflict.
func (s *Server) answerKnownJob(ctx *fasthttp.RequestCtx, existing state.Job, spec model.JobSpec) {
	if reflect.DeepEqual(existing.Spec, spec) {
		writeJSON(ctx, fasthttp.StatusOK, jobAnswer(existing))
		return
	}
	writeJSON(ctx, fasthttp.StatusConflict, Failure{
		Outcome: OutcomeConflict, Reason: reasonAlreadyExists, Detail: "another job was submitted under this ID",
	})
}

// checkSpec checks the specification and fills in the key's team if it names none. If the job can't be accepted, it answers
// the call and returns false.
func (s *Server) checkSpec(ctx *fasthttp.RequestCtx, spec model.JobSpec) (model.JobSpec, bool) {
	if err := checkJob(spec); err != nil {
		refuse(ctx, fasthttp.StatusBadRequest, reasonBadRequest, err.Error())
		return spec, false
	}
	set, _ := s.cfg.View.Declarations()
	class, ok := set.Class(spec.Class)
	if !ok {
		refuse(ctx, fasthttp.StatusNotFound, reasonUnknownObject, fmt.Sprintf("no class %q is declared", spec.Class))
		return spec, false
	}
	team, ok := s.authorise(ctx, class)
	if !ok {
		return spec, false
	}
	return s.checkTeam(ctx, set, spec, team)
}

func (s *Server) checkTeam(
	ctx *fasthttp.RequestCtx, set decl.Set, spec model.JobSpec, team model.TeamID,
) (model.JobSpec, bool) {
	if spec.Team == "" {
		spec = spec.WithTeam(team)
	}
	if team != "" && spec.Team != team {
		refuse(ctx, fasthttp.StatusForbidden, reasonKeyRefused, fmt.Sprintf("the key is not one of team %q", spec.Team))
		return spec, false
	}
	if _, ok := set.Team(spec.Team); !ok {
		refuse(ctx, fasthttp.StatusNotFound, reasonUnknownObject, fmt.Sprintf("no team %q is declared", spec.Team))
		return spec, false
	}
	for _, dc := range spec.DataCentres {
		if _, ok := set.DataCentre(dc); !ok {
			refuse(ctx, fasthttp.StatusNotFound, reasonUnknownObject, fmt.Sprintf("no data centre %q is declared", dc))
			return spec, false
		}
	}
	return spec, true
}

// errInvalidJob reports an invalid job specification.
var errInvalidJob = errors.New("invalid job")

func checkJob(spec model.JobSpec) error {
	switch {
	case spec.ID == "" || len(spec.ID) > maxJobIDBytes:
		return fmt.Errorf("%w: id: must have 1 to %d bytes", errInvalidJob, maxJobIDBytes)
	case spec.Class == "":
		return fmt.Errorf("%w: class: is missing", errInvalidJob)
	case spec.Kind != model.KindBatch && spec.Kind != model.KindGang && spec.Kind != model.KindService:
		return fmt.Errorf("%w: kind: must be batch, all-at-once or service, not %q", errInvalidJob, spec.Kind)
	case spec.Tasks < 1 || spec.Tasks > maxTasks:
		return fmt.Errorf("%w: tasks: must be from 1 to %d, not %d", errInvalidJob, maxTasks, spec.Tasks)
	case spec.Size.Negative() || spec.Size.Zero():
		return fmt.Errorf("%w: size: must be positive", errInvalidJob)
	case spec.RunTime < 0:
		return fmt.Errorf("%w: run-time: must not be negative", errInvalidJob)
	default:
		return nil
	}
}

// jobStatus is the answer to a call about a job.
type jobStatus struct {
	ID        model.JobID    `json:"id"`
	Team      model.TeamID   `json:"team"`
	Class     model.ClassID  `json:"class"`
	Cancelled bool           `json:"cancelled"`
	Refusal   string         `json:"refusal,omitempty"`
	Tasks     int            `json:"tasks"`
	Done      int            `json:"done"`
	Phases    map[string]int `json:"phases"`
	Outcomes  map[string]int `json:"outcomes"`
	Unknown   []model.TaskID `json:"outcome-unknown,omitempty"`
}

func jobAnswer(job state.Job) jobStatus {
	out := jobStatus{
		ID: job.Spec.ID, Team: job.Spec.Team, Class: job.Spec.Class, Cancelled: job.Cancelled, Refusal: job.Refused,
		Tasks: job.Spec.Tasks, Done: job.Done, Phases: make(map[string]int), Outcomes: make(map[string]int),
	}
	for _, task := range job.Tasks {
		out.Phases[string(task.Phase)]++
		if task.Phase != state.PhaseDone {
			continue
		}
		out.Outcomes[outcomeName(task)]++
		if task.Outcome == model.OutcomeLost {
			out.Unknown = append(out.Unknown, task.ID)
		}
	}
	return out
}

func outcomeName(task state.Task) string {
	switch task.Outcome {
	case "":
		return "not-run"
	case model.OutcomeLost:
		return "unknown"
	default:
		return string(task.Outcome)
	}
}

func (s *Server) handleJob(ctx *fasthttp.RequestCtx) {
	if !s.ready(ctx) {
		return
	}
	id, _ := ctx.UserValue("id").(string)
	job, ok := s.cfg.View.Job(model.JobID(id))
	if !ok {
		refuse(ctx, fasthttp.StatusNotFound, reasonUnknownObject, fmt.Sprintf("no job %q is known", id))
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, jobAnswer(job))
}
