package front

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"arbutuswing.example/internal/accept"
	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/ports"
	"arbutuswing.example/internal/record"
	"arbutuswing.example/internal/route"
	"arbutuswing.example/internal/state"
)

// ErrConfig reports an invalid configuration.
var ErrConfig = errors.New("invalid configuration")

const (
	// DefaultMaxBody is the largest body of a request in bytes.
	DefaultMaxBody = 4 << 20
	// DefaultSubmitTimeout is how long a call waits for its operations to be recorded.
	DefaultSubmitTimeout = 5 * time.Second
	readTimeout          = 30 * time.Second
	idleTimeout          = 60 * time.Second
	// lastReadTime is the time for which connections that are open when the server stops listening may still send a request.
	lastReadTime = 300 * time.Millisecond
)

// RequestRouter sends a request to an endpoint and returns its answer; *route.Router implements it.
type RequestRouter interface {
	Serve(ctx context.Context, req route.Request) (ports.Answer, error)
}

// Issuer issues request IDs.
type Issuer interface{ Issue() string }

// Submitter records operations in the log. For each one it returns nil, or the reason why the state machine rejected it.
type Submitter interface {
	Submit(ctx context.Context, ops ...record.Op) ([]error, error)
}

// View reads the state machine; *state.Machine implements it.
type View interface {
	Declarations() (decl.Set, model.Offset)
	Job(id model.JobID) (state.Job, bool)
	Jobs(filter state.JobFilter) []state.Job
	Queued(team model.TeamID, class model.ClassID, limit int) []state.Task
	Task(id model.TaskID) (state.Task, model.JobSpec, bool)
}

// Connectivity reports what this instance may do in its present connectivity state.
type Connectivity interface {
	// MayCheckKeys reports whether the state is recent enough to check team keys, so that a withdrawn key is not accepted.
	MayCheckKeys() bool
	// MayRecord reports whether operations can be appended to the log.
	MayRecord() bool
	// Ready reports whether this instance has loaded its state.
	Ready() bool
}

// Config configures a Server.
type Config struct {
	// Address is the IP:port to listen on.
	Address      string
	Router       RequestRouter
	Issuer       Issuer
	Submitter    Submitter
	View         View
	Connectivity Connectivity
	// NotRecorded is the error that the Submitter's errors wrap if the operations certainly have no effect. After any
	// other error they may take effect.
	NotRecorded   error
	Log           *zap.Logger
	SubmitTimeout time.Duration
	// MaxBody is the largest body of a request in bytes.
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

// Check returns ErrConfig for an invalid configuration.
func (c Config) Check() error {
	if c.Router == nil || c.Issuer == nil || c.Submitter == nil || c.View == nil || c.Connectivity == nil {
		return fmt.Errorf("%w: Router, Issuer, Submitter, View and Connectivity are required", ErrConfig)
	}
	return nil
}

// Server is the HTTP server for clients.
type Server struct {
	cfg  Config
	http *fasthttp.Server
	// listener is nil before Serve.
	listener atomic.Pointer[accept.Tracked]
	// draining is set once this instance is about to stop.
	draining atomic.Bool
}

// New returns a server that listens once Run is called. It returns ErrConfig for an invalid configuration.
func New(cfg Config) (*Server, error) {
	cfg = cfg.WithDefaults()
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	s := &Server{cfg: cfg}
	s.http = &fasthttp.Server{
		Handler: s.handler(s.routes()), MaxRequestBodySize: cfg.MaxBody, ReadTimeout: readTimeout,
		IdleTimeout: idleTimeout, Name: "arbutuswing", NoDefaultServerHeader: true,
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
		refuse(ctx, fasthttp.StatusNotFound, reasonNoSuchPath, "no such path")
	}
	r.MethodNotAllowed = func(ctx *fasthttp.RequestCtx) {
		refuse(ctx, fasthttp.StatusMethodNotAllowed, reasonNoSuchPath, "no such method on this path")
	}
	return r
}

// handler dispatches to the routes. While the server is draining, it closes each connection after the answer, so that
// clients reconnect to another instance and closing the listener later aborts no request.
func (s *Server) handler(routes *router.Router) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if s.draining.Load() {
			ctx.SetConnectionClose()
		}
		routes.Handler(ctx)
	}
}

// StartDraining makes the health check fail and closes connections after their next answer; the server still serves calls.
func (s *Server) StartDraining() { s.draining.Store(true) }

// Run listens on the configured address and serves clients until Shutdown is called.
func (s *Server) Run() error {
	listener, err := accept.ListenTracked(s.cfg.Address)
	if err != nil {
		return fmt.Errorf("listening for callers: %w", err)
	}
	return s.Serve(listener)
}

// Serve serves clients on listener until Shutdown is called.
func (s *Server) Serve(listener *accept.Tracked) error {
	s.listener.Store(listener)
	if err := s.http.Serve(listener); err != nil {
		return fmt.Errorf("serving callers: %w", err)
	}
	return nil
}

// Shutdown drains the connections, stops listening and waits until open calls have finished or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.StartDraining()
	listener := s.listener.Load()
	if listener == nil {
		return nil
	}
	if err := listener.Shutdown(ctx, lastReadTime); err != nil {
		return fmt.Errorf("waiting for open calls to finish: %w", err)
	}
	return nil
}

func (s *Server) handleHealth(ctx *fasthttp.RequestCtx) {
	if s.draining.Load() {
		refuse(ctx, fasthttp.StatusServiceUnavailable, reasonDraining, "this instance is shutting down")
		return
	}
	if !s.ready(ctx) {
		return
	}
	ctx.SetBodyString("{\"status\":\"ready\"}\n")
	ctx.SetContentType(contentJSON)
}
