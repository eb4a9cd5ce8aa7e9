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

// Config holds the settings of a load generator.
type Config struct {
	Requests setup.Requests
	Seed     int64
	// Run is the prefix of the request names; it distinguishes this run's requests from those of other runs.
	Run   string
	Keys  map[model.TeamID]string
	Entry *entry.Client
	Log   *zap.Logger
}

// Generator sends requests and collects their outcomes.
type Generator struct {
	cfg     Config
	limiter *rate.Limiter
	senders sync.WaitGroup

	mu     sync.Mutex
	next   int
	result Result
}

// New returns a generator that has not sent anything yet.
func New(cfg Config) *Generator {
	g := &Generator{cfg: cfg, limiter: rate.NewLimiter(rate.Inf, 1), result: newResult()}
	if cfg.Requests.PerSecond > 0 {
		g.limiter = rate.NewLimiter(rate.Limit(cfg.Requests.PerSecond), max(1, int(cfg.Requests.PerSecond/100)))
	}
	return g
}

// Run sends all requests, or as many as it can before ctx ends, and returns their outcomes.
func (g *Generator) Run(ctx context.Context) Result {
	started := time.Now()
	for range g.cfg.Requests.Concurrency {
		g.senders.Add(1)
		go g.loopSend(ctx)
	}
	g.senders.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.result.Took = model.Duration(time.Since(started).Round(time.Millisecond))
	g.result.Latency = Latency{P50: g.result.latencyAt(50), P99: g.result.latencyAt(99), Max: g.result.latencyAt(100)}
	return g.result
}

func (g *Generator) loopSend(ctx context.Context) {
	defer g.senders.Done()
	for {
		n, ok := g.nextNumber()
		if !ok || g.limiter.Wait(ctx) != nil {
			return
		}
		r := drawRequest(g.cfg.Requests, g.cfg.Seed, g.cfg.Run, n)
		started := time.Now()
		res := g.send(ctx, r)
		res.took = time.Since(started)
		g.record(r, res)
	}
}

func (g *Generator) nextNumber() (int, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.next >= g.cfg.Requests.Count {
		return 0, false
	}
	g.next++
	return g.next - 1, true
}

// requestResult is the result of one request with all of its tries.
type requestResult struct {
	outcome entry.Outcome
	wrong   bool
	// uncertain is set if a try may have run although its answer was not received.
	uncertain bool
	tries     int
	reason    string
	took      time.Duration
}

// send repeats a request until it is answered, permanently refused or out of tries. Once a try of a non-idempotent
// request may have run, further tries use the same ID, so that the request cannot run twice.
func (g *Generator) send(ctx context.Context, r request) requestResult {
	res := requestResult{outcome: entry.NotRun}
	id := ""
	for res.tries < g.cfg.Requests.Tries {
		if res.tries > 0 && !entry.Backoff(ctx, res.tries) {
			break
		}
		res.tries++
		if !r.idempotent && id == "" {
			if id = g.newID(ctx, r, res.tries); id == "" {
				res.reason = "no-request-id"
				continue
			}
		}
		reply := g.cfg.Entry.Do(ctx, g.call(r, id))
		res.reason = reply.Reason
		switch reply.Outcome {
		case entry.Answered:
			res.outcome, res.wrong = entry.Answered, !bytes.Equal(reply.Body, r.want)
			return res
		case entry.NotRun:
			if reply.Permanent() {
				return res.withUncertainty()
			}
			if !res.uncertain {
				id = ""
			}
		case entry.Conflict:
			// The ID is in use: an earlier try ran or is running, and its answer was lost.
			res.uncertain = true
			return res.withUncertainty()
		case entry.Unknown:
			res.uncertain = true
		}
	}
	return res.withUncertainty()
}

// withUncertainty changes the outcome to unknown if a try may have run.
func (res requestResult) withUncertainty() requestResult {
	if res.uncertain {
		res.outcome = entry.Unknown
	}
	return res
}

func (g *Generator) call(r request, id string) entry.Call {
	timeout := g.cfg.Requests.Timeout.Std()
	return entry.Call{
		Method: fasthttp.MethodPost, Path: "/v1/requests/" + string(r.mix.Class), Body: r.body,
		// The entry instance has the shorter timeout, because its answer says more than a timeout here would.
		Timeout: timeout + timeout/4,
		Headers: map[string]string{
			entry.HeaderKey: g.cfg.Keys[r.mix.Team], entry.HeaderTeam: string(r.mix.Team), entry.HeaderRequest: id,
			entry.HeaderIdempotent: strconv.FormatBool(r.idempotent),
			entry.HeaderTimeout:    strconv.FormatInt(timeout.Milliseconds(), 10),
		},
	}
}

// newID returns a request ID, issued by an entry instance or generated here; it is empty if none was issued.
func (g *Generator) newID(ctx context.Context, r request, try int) string {
	if !r.issued {
		return r.name + "-" + strconv.Itoa(try)
	}
	reply := g.cfg.Entry.Do(ctx, entry.Call{
		Method: fasthttp.MethodPost, Path: "/v1/request-ids", Timeout: g.cfg.Requests.Timeout.Std(),
	})
	var issued struct {
		IDs []string `json:"request-ids"`
	}
	if reply.Outcome != entry.Answered || json.Unmarshal(reply.Body, &issued) != nil || len(issued.IDs) == 0 {
		return ""
	}
	return issued.IDs[0]
}
