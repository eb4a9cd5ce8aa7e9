package proof

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"arbutuswing.example/caller/internal/batch"
	"arbutuswing.example/caller/internal/entry"
	"arbutuswing.example/caller/internal/load"
	"arbutuswing.example/internal/httpc"
	"arbutuswing.example/internal/model"
)

const auditTimeout = 10 * time.Second

// endpointAudit is the part of the audit of the endpoints' stand-in that the comparison uses.
type endpointAudit struct {
	ByRequest        map[string]int `json:"runs-by-request"`
	RepeatedAttempts int            `json:"repeated-attempts"`
	LateArrivals     int            `json:"late-offers"`
}

// platformAudit is the part of the audit of the platform's stand-in that the comparison uses.
type platformAudit struct {
	Violations map[string]int             `json:"violations"`
	Examples   []string                   `json:"examples"`
	Tasks      map[model.TaskID]taskAudit `json:"tasks"`
}

type taskAudit struct {
	Completions  int `json:"completions"`
	Acknowledged int `json:"acknowledged"`
	AfterLost    int `json:"after-lost"`
}

// RequestReport is the result of comparing requests with the endpoints' counts.
type RequestReport struct {
	// RanMoreThanOnce counts non-idempotent requests that ran more than once.
	RanMoreThanOnce int `json:"ran-again"`
	// RefusedButRan counts requests that ran although each of their tries was refused as not run.
	RefusedButRan int `json:"refused-but-ran"`
	// AnsweredWithoutRun counts answered requests that ran on no endpoint.
	AnsweredWithoutRun int `json:"answered-without-run"`
	// RepeatedAttempts counts attempts that reached an endpoint more than once.
	RepeatedAttempts int `json:"repeated-attempts"`
	// LateArrivals counts requests that reached an endpoint more than 5 s after it began to leave.
	LateArrivals int      `json:"late-offers"`
	Examples     []string `json:"examples,omitempty"`
}

// JobReport is the result of comparing jobs with the platform's counts.
type JobReport struct {
	// Lost counts accepted jobs that the system no longer knows, and tasks that it reports as succeeded although they
	// never completed.
	Lost int `json:"lost"`
	// DuplicateAcknowledgements counts tasks whose success was acknowledged more than once.
	DuplicateAcknowledgements int `json:"doubled"`
	// DuplicateCompletions counts tasks that completed more than once, including those whose first completion was lost
	// in a crash.
	DuplicateCompletions int `json:"completed-again"`
	// RerunAfterUnknown counts starts, after an attempt with an unknown end, of tasks that must not be rerun.
	RerunAfterUnknown int            `json:"rerun-after-unknown"`
	Violations        map[string]int `json:"violations"`
	Examples          []string       `json:"examples,omitempty"`
}

const maxExamples = 20

// CheckRequests fetches the endpoints' audits and compares them with the requests' outcomes.
func CheckRequests(ctx context.Context, addresses []string, result load.Result) (RequestReport, error) {
	var report RequestReport
	counts := make(map[string]int)
	for _, address := range addresses {
		var audit endpointAudit
		if err := fetchAudit(ctx, address, "/audit?all=true", &audit); err != nil {
			return report, err
		}
		report.RepeatedAttempts += audit.RepeatedAttempts
		report.LateArrivals += audit.LateArrivals
		for id, n := range audit.ByRequest {
			counts[id] += n
		}
	}
	for id, outcome := range result.Outcomes {
		report.addRequest(id, outcome, counts[id])
	}
	return report, nil
}

func (r *RequestReport) addRequest(id string, outcome load.RequestOutcome, ran int) {
	switch {
	case !outcome.Idempotent && ran > 1:
		r.RanMoreThanOnce++
	case outcome.Outcome == entry.NotRun && ran > 0:
		r.RefusedButRan++
	case outcome.Outcome == entry.Answered && ran == 0:
		r.AnsweredWithoutRun++
	default:
		return
	}
	if len(r.Examples) < maxExamples {
		r.Examples = append(r.Examples, fmt.Sprintf("%s: %s, ran %d times", id, outcome.Outcome, ran))
	}
}

// Problems returns the number of findings that must never occur.
func (r RequestReport) Problems() int {
	return r.RanMoreThanOnce + r.RefusedButRan + r.AnsweredWithoutRun + r.RepeatedAttempts + r.LateArrivals
}

// CheckJobs fetches the platform's audit and compares it with the jobs' results.
func CheckJobs(ctx context.Context, address string, result batch.Result) (JobReport, error) {
	var audit platformAudit
	if err := fetchAudit(ctx, address, "/audit", &audit); err != nil {
		return JobReport{}, err
	}
	report := JobReport{Lost: result.NotFound, Violations: audit.Violations, Examples: audit.Examples}
	completed := make(map[model.JobID]int)
	for task, counts := range audit.Tasks {
		if _, submitted := result.Succeeded[task.Job]; !submitted {
			continue
		}
		if counts.Completions > 0 {
			completed[task.Job]++
		}
		if counts.Completions > 1 {
			report.DuplicateCompletions++
		}
		if counts.Acknowledged > 1 {
			report.DuplicateAcknowledgements++
		}
		if result.NoRerun[task.Job] {
			report.RerunAfterUnknown += counts.AfterLost
		}
	}
	for job, succeeded := range result.Succeeded {
		if missing := succeeded - completed[job]; missing > 0 {
			report.Lost += missing
		}
	}
	return report, nil
}

// Problems returns the number of findings that must never occur.
func (r JobReport) Problems() int {
	problems := r.Lost + r.DuplicateAcknowledgements + r.RerunAfterUnknown
	for _, n := range r.Violations {
		problems += n
	}
	return problems
}

func fetchAudit(ctx context.Context, address, path string, target any) error {
	pool, err := httpc.New(httpc.Config{Address: address})
	if err != nil {
		return fmt.Errorf("audit of %s: %w", address, err)
	}
	defer pool.CloseIdleConnections()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + path)
	if err := pool.Do(ctx, httpc.Call{Request: req, Response: resp, Timeout: auditTimeout}); err != nil {
		return fmt.Errorf("audit of %s: %w", address, err)
	}
	if err := json.Unmarshal(resp.Body(), target); err != nil {
		return fmt.Errorf("audit of %s: %w", address, err)
	}
	return nil
}
