package admin

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"arbutuswing.example/internal/opapi"
)

const (
	// maxBody is the largest body of a call in bytes; declarations of 280 teams take about 150 KB.
	maxBody = 4 << 20
	// idleTimeout is the time after which idle connections are closed, since operators' tools may leave them open.
	idleTimeout = time.Minute
	readTimeout = 10 * time.Second
	// maxConnections bounds the memory that operators' connections can take.
	maxConnections = 256
)

// Server serves the operator API.
type Server struct {
	config Config
}

// New returns a server that listens once Run or Serve is called. It returns ErrConfig if a field is missing or invalid.
func New(config Config) (*Server, error) {
	config = config.WithDefaults()
	if err := config.Check(); err != nil {
		return nil, err
	}
	return &Server{config: config}, nil
}

// Sections returns the sections of the state dump.
func (s *Server) Sections() []Section { return s.config.Sections }

// Run serves until ctx ends and then waits for open calls to finish. It returns an error if it can't listen or accept
// connections.
func (s *Server) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", s.config.Address)
	if err != nil {
		return fmt.Errorf("listening for operators on %s: %w", s.config.Address, err)
	}
	return s.Serve(ctx, listener)
}

// Serve is like Run, but uses an existing listener, which it closes.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	server := &fasthttp.Server{
		Handler: s.routes().Handler, MaxRequestBodySize: maxBody, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
		Concurrency: maxConnections, NoDefaultServerHeader: true, CloseOnShutdown: true,
		Logger: connectionLog{s.config.Log.Sugar()},
	}
	stopped := make(chan struct{})
	cancel := context.AfterFunc(ctx, func() {
		defer close(stopped)
		s.shutdown(server, listener)
	})
	err := server.Serve(listener)
	if !cancel() {
		<-stopped
	}
	if err != nil && ctx.Err() == nil {
		return fmt.Errorf("serving operators: %w", err)
	}
	return nil
}

// shutdown waits for open calls to finish, at most as long as it takes to read a call and to record its change.
func (s *Server) shutdown(server *fasthttp.Server, listener net.Listener) {
	ctx, cancel := context.WithTimeout(context.Background(), s.config.SubmitTimeout+readTimeout)
	defer cancel()
	if err := server.ShutdownWithContext(ctx); err != nil {
		s.config.Log.Warn("operator API did not close cleanly", zap.Error(err))
	}
	// A shutdown before server.Serve has registered the listener does not close it.
	_ = listener.Close()
}

// connectionLog logs the messages of the HTTP library, which are about single connections, at debug level.
type connectionLog struct{ log *zap.SugaredLogger }

// Printf logs a message at debug level.
func (l connectionLog) Printf(format string, args ...any) { l.log.Debugf(format, args...) }

func (s *Server) routes() *router.Router {
	r := router.New()
	r.GET(opapi.DeclarationsPath, s.answer("declarations", s.requireOperator(s.declarations)))
	r.POST(opapi.ChangesPath, s.answer("changes", s.requireOperator(s.change)))
	r.GET(opapi.ProposalsPath, s.answer("proposals", s.proposals))
	r.POST(opapi.VerdictPath("{id}"), s.answer("verdict", s.verdict))
	r.GET(opapi.StatusPath, s.answer("status", s.requireOperator(s.status)))
	r.GET(opapi.DumpPath, s.answer("dump", s.requireOperator(s.dump)))
	r.GET(opapi.HealthPath, s.answer("health", s.health))
	r.GET(opapi.MetricsPath, writeMetrics)
	r.NotFound = s.answer("other", noSuchPath)
	r.MethodNotAllowed = s.answer("other", wrongMethod)
	return r
}
