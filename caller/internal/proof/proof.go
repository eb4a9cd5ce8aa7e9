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

// endpointAudit is the part of the endpoints' audit that the comparison uses.
type endpointAudit struct {
	ByRequest        map[string]int `json:"runs-by-request"`
	RepeatedAttempts int            `json:"repeated-attempts"`
	LateOffers       int            `json:"late-offers"`
}

// platformAudit is the part of the platform's audit that the comparison uses.
type platformAudit struct {
	Violations map[string]int       `json:"violations"`
	Examples   []string             `json:"examples"`
	Tasks      map[model.TaskID]run `json:"tasks"`
}

type run struct {
	Completions  int `json:"completions"`
	Acknowledged int `json:"acknowledged"`
	AfterLost    int `json:"after-lost"`
}

// Runs compares requests with the endpoints' counts.
type Runs struct {
	// RanAgain counts non-idempotent requests that ran more than once.
	RanAgain int `json:"ran-again"`
	// RefusedButRan counts requests that ran though every try was refused as not run.
	RefusedButRan int `json:"refused-but-ran"`
	// AnsweredWithoutRun counts answered requests that no endpoint ran.
	AnsweredWithoutRun int `json:"answered-without-run"`
	// RepeatedAttempts counts attempts that reached an endpoint twice.
	RepeatedAttempts int `json:"repeated-attempts"`
	// LateOffers counts requests that reached an endpoint more than 5 s after it began to leave.
	LateOffers int      `json:"late-offers"`
	Examples   []string `json:"examples,omitempty"`
}

// Work compares jobs with the platform's counts.
type Work struct {
	// Lost counts accepted jobs that the system no longer knows, and tasks that it calls succeeded without a
	// completion.
	Lost int `json:"lost"`
	// Doubled counts tasks whose success was acknowledged more than once.
	Doubled int `json:"doubled"`
	// CompletedAgain counts tasks that succeeded more than once, also where a crash hid the first time.
	CompletedAgain int `json:"completed-again"`
	// Rerun counts starts of tasks that may not be rerun after an attempt whose end is unknown.
	Rerun      int            `json:"rerun-after-unknown"`
	Violations map[string]int `json:"violations"`
	Examples   []string       `json:"examples,omitempty"`
}

const maxExamples = 20

// CheckRuns fetches the endpoints' audits and compares.
func CheckRuns(ctx context.Context, addresses []string, result load.Result) (Runs, error) {
	var runs Runs
	counts := make(map[string]int)
	for _, address := range addresses {
		var audit endpointAudit
		if err := fetch(ctx, address, "/audit?all=true", &audit); err != nil {
			return runs, err
		}
		runs.RepeatedAttempts += audit.RepeatedAttempts
		runs.LateOffers += audit.LateOffers
		for id, n := range audit.ByRequest {
			counts[id] += n
		}
	}
	for id, end := range result.Ends {
		runs.compare(id, end, counts[id])
	}
	return runs, nil
}

func (r *Runs) compare(id string, end load.End, ran int) {
	switch {
	case !end.Idempotent && ran > 1:
		r.RanAgain++
	case end.Outcome == entry.NotRun && ran > 0:
		r.RefusedButRan++
	case end.Outcome == entry.Answered && ran == 0:
		r.AnsweredWithoutRun++
	default:
		return
	}
	if len(r.Examples) < maxExamples {
		r.Examples = append(r.Examples, fmt.Sprintf("%s: %s, ran %d times", id, end.Outcome, ran))
	}
}

// Problems counts what must never happen.
func (r Runs) Problems() int {
	return r.RanAgain + r.RefusedButRan + r.AnsweredWithoutRun + r.RepeatedAttempts + r.LateOffers
}

// CheckWork fetches the platform's audit and compares.
func CheckWork(ctx context.Context, address string, result batch.Result) (Work, error) {
	var audit platformAudit
	if err := fetch(ctx, address, "/audit", &audit); err != nil {
		return Work{}, err
	}
	work := Work{Lost: result.Denied, Violations: audit.Violations, Examples: audit.Examples}
	completed := make(map[model.JobID]int)
	for task, counts := range audit.Tasks {
		if _, ours := result.Succeeded[task.Job]; !ours {
			continue
		}
		if counts.Completions > 0 {
			completed[task.Job]++
		}
		if counts.Completions > 1 {
			work.CompletedAgain++
		}
		if counts.Acknowledged > 1 {
			work.Doubled++
		}
		if result.Once[task.Job] {
			work.Rerun += counts.AfterLost
		}
	}
	for job, succeeded := range result.Succeeded {
		if missing := succeeded - completed[job]; missing > 0 {
			work.Lost += missing
		}
	}
	return work, nil
}

// Problems counts what must never happen.
func (w Work) Problems() int {
	problems := w.Lost + w.Doubled + w.Rerun
	for _, n := range w.Violations {
		problems += n
	}
	return problems
}

func fetch(ctx context.Context, address, path string, into any) error {
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
	if err := json.Unmarshal(resp.Body(), into); err != nil {
		return fmt.Errorf("audit of %s: %w", address, err)
	}
	return nil
}
