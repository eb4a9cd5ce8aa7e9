package front

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/ports"
	"arbutuswing.example/internal/record"
	"arbutuswing.example/internal/route"
	"arbutuswing.example/internal/state"
)

// ErrConfig reports a configuration that can't work.
var ErrConfig = errors.New("invalid configuration")

const (
	// DefaultMaxBody is the largest body of a request in bytes.
	DefaultMaxBody = 4 << 20
	// DefaultSubmitTimeout is how long a call waits for its operations to be recorded.
	DefaultSubmitTimeout = 5 * time.Second
	readTimeout          = 30 * time.Second
	idleTimeout          = 60 * time.Second
)

// Requests serves callers' requests.
type Requests interface {
	Serve(ctx context.Context, req route.Request) (ports.Answer, error)
}

// Issuer issues request IDs.
type Issuer interface{ Issue() string }

// Recorder records operations in the log: one void reason, or nil, for each.
type Recorder interface {
	Submit(ctx context.Context, ops ...record.Op) ([]error, error)
}

// View reads the state folded from the log.
type View interface {
	Declarations() (decl.Set, model.Offset)
	Job(id model.JobID) (state.Job, bool)
	Jobs(filter state.JobFilter) []state.Job
	Queued(team model.TeamID, class model.ClassID, limit int) []state.Task
	Task(id model.TaskID) (state.Task, model.JobSpec, bool)
}

// Connectivity tells which duties this instance may carry out now.
type Connectivity interface {
	// MayCheckKeys reports whether a withdrawn key would be known here.
	MayCheckKeys() bool
	// MayRecord reports whether the log can take operations.
	MayRecord() bool
	// Ready reports whether this instance has the newest state.
	Ready() bool
}

// Config builds a Server.
type Config struct {
	// Address is IP:port.
	Address      string
	Requests     Requests
	Issuer       Issuer
	Recorder     Recorder
	View         View
	Connectivity Connectivity
	// NotRecorded and Unknown are the recorder's errors for operations that surely have no effect, and for those that
	// may have one.
	NotRecorded   error
	Log           *zap.Logger
	SubmitTimeout time.Duration
	// MaxBody is in bytes.
	MaxBody int
}

// WithDefaults returns the configuration with unset fields filled in.
func (c Config) WithDefaults() Config {
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	c.SubmitTimeout = cmp.Or(c.SubmitTimeout, DefaultSubmitTimeout)
	c.MaxBody = cmp.Or(c.MaxBody, DefaultMaxBody)
	return c
}

// Check returns ErrConfig for a configuration that can't work.
func (c Config) Check() error {
	if c.Requests == nil || c.Issuer == nil || c.Recorder == nil || c.View == nil || c.Connectivity == nil {
		return fmt.Errorf("%w: Requests, Issuer, Recorder, View and Connectivity are required", ErrConfig)
	}
	return nil
}

// Server is the callers' HTTP server.
type Server struct {
	cfg  Config
	http *fasthttp.Server
	// leaving is set once this instance is about to stop.
	leaving atomic.Bool
}

// New returns a server that listens once Run is called.
func New(cfg Config) (*Server, error) {
	cfg = cfg.WithDefaults()
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	s := &Server{cfg: cfg}
	s.http = &fasthttp.Server{
		Handler: s.handler(s.routes()), MaxRequestBodySize: cfg.MaxBody, ReadTimeout: readTimeout,
		IdleTimeout: idleTimeout, Name: "arbutuswing", NoDefaultServerHeader: true, CloseOnShutdown: true,
	}
	return s, nil
}

func (s *Server) routes() *router.Router {
	r := router.New()
	r.POST("/v1/requests/{class}", s.handleRequest)
	r.POST("/v1/request-ids", s.handleIssue)
	r.POST("/v1/jobs", s.handleSubmit)
	r.GET("/v1/jobs/{id}", s.handleJob)
	r.POST("/v1/jobs/cancel", s.handleCancel)
	r.POST("/v1/queues/{class}/take", s.handleTake)
	r.POST("/v1/queues/{class}/done", s.handleDone)
	r.GET("/health", s.handleHealth)
	r.NotFound = func(ctx *fasthttp.RequestCtx) {
		refuse(ctx, fasthttp.StatusNotFound, reasonNoRoute, "no such path")
	}
	r.MethodNotAllowed = func(ctx *fasthttp.RequestCtx) {
		refuse(ctx, fasthttp.StatusMethodNotAllowed, reasonNoRoute, "no such method on this path")
	}
	return r
}

// handler answers by the routes; while this instance is leaving it asks callers to open their next connection
// elsewhere, so that closing the listener later cuts off no request.
func (s *Server) handler(routes *router.Router) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if s.leaving.Load() {
			ctx.SetConnectionClose()
		}
		routes.Handler(ctx)
	}
}

// Leave announces to callers that this instance is about to stop; it goes on serving them.
func (s *Server) Leave() { s.leaving.Store(true) }

// Run listens until Shutdown is called.
func (s *Server) Run() error {
	listener, err := net.Listen("tcp4", s.cfg.Address)
	if err != nil {
		return fmt.Errorf("listening for callers: %w", err)
	}
	return s.Serve(listener)
}

// Serve serves callers on listener until Shutdown is called.
func (s *Server) Serve(listener net.Listener) error {
	if err := s.http.Serve(listener); err != nil {
		return fmt.Errorf("serving callers: %w", err)
	}
	return nil
}

// Shutdown stops listening and waits for open calls to end.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.http.ShutdownWithContext(ctx); err != nil {
		return fmt.Errorf("ending callers' calls: %w", err)
	}
	return nil
}

func (s *Server) handleHealth(ctx *fasthttp.RequestCtx) {
	if s.leaving.Load() {
		refuse(ctx, fasthttp.StatusServiceUnavailable, reasonDraining, "this instance is shutting down")
		return
	}
	if !s.ready(ctx) {
		return
	}
	ctx.SetBodyString("{\"status\":\"ready\"}\n")
	ctx.SetContentType(contentJSON)
}
