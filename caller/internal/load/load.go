package load

import (
	"bytes"
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"arbutuswing.example/caller/internal/entry"
	"arbutuswing.example/caller/internal/setup"
	"arbutuswing.example/internal/model"
)

// Config describes a load.
type Config struct {
	Requests setup.Requests
	Seed     int64
	// Run tells this run's requests from those of others.
	Run   string
	Keys  map[model.TeamID]string
	Entry *entry.Client
	Log   *zap.Logger
}

// Load sends requests and collects what became of them.
type Load struct {
	cfg     Config
	limiter *rate.Limiter
	group   sync.WaitGroup

	mu     sync.Mutex
	next   int
	result Result
}

// New returns a load that has sent nothing yet.
func New(cfg Config) *Load {
	l := &Load{cfg: cfg, limiter: rate.NewLimiter(rate.Inf, 1), result: newResult()}
	if cfg.Requests.PerSecond > 0 {
		l.limiter = rate.NewLimiter(rate.Limit(cfg.Requests.PerSecond), max(1, int(cfg.Requests.PerSecond/100)))
	}
	return l
}

// Run sends all requests, or as many as ctx leaves time for, and returns what became of them.
func (l *Load) Run(ctx context.Context) Result {
	started := time.Now()
	for range l.cfg.Requests.Concurrency {
		l.group.Add(1)
		go l.loopSend(ctx)
	}
	l.group.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.result.Took = model.Duration(time.Since(started).Round(time.Millisecond))
	l.result.Latency = Latency{P50: l.result.at(50), P99: l.result.at(99), Max: l.result.at(100)}
	return l.result
}

func (l *Load) loopSend(ctx context.Context) {
	defer l.group.Done()
	for {
		n, ok := l.take()
		if !ok || l.limiter.Wait(ctx) != nil {
			return
		}
		r := draw(l.cfg.Requests, l.cfg.Seed, l.cfg.Run, n)
		started := time.Now()
		end := l.send(ctx, r)
		end.took = time.Since(started)
		l.settle(r, end)
	}
}

func (l *Load) take() (int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.next >= l.cfg.Requests.Count {
		return 0, false
	}
	l.next++
	return l.next - 1, true
}

// end is what became of one request.
type end struct {
	outcome entry.Outcome
	wrong   bool
	// uncertain is set if any try may have run without its answer.
	uncertain bool
	tries     int
	reason    string
	took      time.Duration
}

// send tries a request until it is answered, surely refused or out of tries. A non-idempotent request keeps its ID as
// soon as one try may have run, so that it can't run twice.
func (l *Load) send(ctx context.Context, r request) end {
	e := end{outcome: entry.NotRun}
	id := ""
	for e.tries < l.cfg.Requests.Tries {
		if e.tries > 0 && !entry.Pause(ctx, e.tries) {
			break
		}
		e.tries++
		if !r.idempotent && id == "" {
			if id = l.newID(ctx, r, e.tries); id == "" {
				e.reason = "no-request-id"
				continue
			}
		}
		reply := l.cfg.Entry.Do(ctx, l.call(r, id))
		e.reason = reply.Reason
		switch reply.Outcome {
		case entry.Answered:
			e.outcome, e.wrong = entry.Answered, !bytes.Equal(reply.Body, r.want)
			return e
		case entry.NotRun:
			if reply.Permanent() {
				return e.final()
			}
			if !e.uncertain {
				id = ""
			}
		case entry.Conflict:
			// The ID is in use: an earlier try ran or is running, and its answer is lost.
			e.uncertain = true
			return e.final()
		case entry.Unknown:
			e.uncertain = true
		}
	}
	return e.final()
}

// final turns a refusal into an unknown outcome if an earlier try may have run.
func (e end) final() end {
	if e.uncertain {
		e.outcome = entry.Unknown
	}
	return e
}

func (l *Load) call(r request, id string) entry.Call {
	timeout := l.cfg.Requests.Timeout.Std()
	return entry.Call{
		Method: fasthttp.MethodPost, Path: "/v1/requests/" + string(r.mix.Class), Body: r.body,
		// The entry instance gives up first, so that its answer tells more than a time-out here would.
		Timeout: timeout + timeout/4,
		Headers: map[string]string{
			entry.HeaderKey: l.cfg.Keys[r.mix.Team], entry.HeaderTeam: string(r.mix.Team), entry.HeaderRequest: id,
			entry.HeaderIdempotent: strconv.FormatBool(r.idempotent),
			entry.HeaderTimeout:    strconv.FormatInt(timeout.Milliseconds(), 10),
		},
	}
}

// newID returns a request ID: one that an entry instance issues or an own one; empty if none was issued.
func (l *Load) newID(ctx context.Context, r request, try int) string {
	if !r.issued {
		return r.name + "-" + strconv.Itoa(try)
	}
	reply := l.cfg.Entry.Do(ctx, entry.Call{
		Method: fasthttp.MethodPost, Path: "/v1/request-ids", Timeout: l.cfg.Requests.Timeout.Std(),
	})
	var issued struct {
		IDs []string `json:"request-ids"`
	}
	if reply.Outcome != entry.Answered || json.Unmarshal(reply.Body, &issued) != nil || len(issued.IDs) == 0 {
		return ""
	}
	return issued.IDs[0]
}
