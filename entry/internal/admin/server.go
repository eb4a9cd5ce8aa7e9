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
	// maxBody bounds a message in bytes; declarations of 280 teams take about 150 KB.
	maxBody = 4 << 20
	// idleTimeout closes connections that operators' tools leave open.
	idleTimeout = time.Minute
	readTimeout = 10 * time.Second
	// maxConnections keeps operators' tools from using up the memory of an instance.
	maxConnections = 256
)

// Server serves the operator API.
type Server struct {
	config Config
}

// New returns a server for a configuration with its defaults; it returns ErrConfig if a part is missing.
func New(config Config) (*Server, error) {
	config = config.WithDefaults()
	if err := config.Check(); err != nil {
		return nil, err
	}
	return &Server{config: config}, nil
}

// Sections returns the parts of the state dump.
func (s *Server) Sections() []Section { return s.config.Sections }

// Run serves until ctx ends and then lets open calls finish; it returns an error only if the address can't be used.
func (s *Server) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", s.config.Address)
	if err != nil {
		return fmt.Errorf("listening for operators on %s: %w", s.config.Address, err)
	}
	return s.Serve(ctx, listener)
}

// Serve does what Run does on a listener of the caller's, which it closes.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	server := &fasthttp.Server{
		Handler: s.routes().Handler, MaxRequestBodySize: maxBody, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
		Concurrency: maxConnections, NoDefaultServerHeader: true, CloseOnShutdown: true,
		Logger: callLog{s.config.Log.Sugar()},
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

// shutdown lets open calls finish, which takes at most the time that a change may wait to be recorded.
func (s *Server) shutdown(server *fasthttp.Server, listener net.Listener) {
	ctx, cancel := context.WithTimeout(context.Background(), s.config.SubmitTimeout+readTimeout)
	defer cancel()
	if err := server.ShutdownWithContext(ctx); err != nil {
		s.config.Log.Warn("operator API did not close cleanly", zap.Error(err))
	}
	// A shutdown that comes before the server knows its listener does not close it.
	_ = listener.Close()
}

// callLog takes the HTTP library's own messages, which are about single connections.
type callLog struct{ log *zap.SugaredLogger }

// Printf logs a message at debug level.
func (l callLog) Printf(format string, args ...any) { l.log.Debugf(format, args...) }

func (s *Server) routes() *router.Router {
	r := router.New()
	r.GET(opapi.DeclarationsPath, s.answer("declarations", s.operator(s.declarations)))
	r.POST(opapi.ChangesPath, s.answer("changes", s.operator(s.change)))
	r.GET(opapi.ProposalsPath, s.answer("proposals", s.proposals))
	r.POST(opapi.VerdictPath("{id}"), s.answer("verdict", s.verdict))
	r.GET(opapi.StatusPath, s.answer("status", s.operator(s.status)))
	r.GET(opapi.DumpPath, s.answer("dump", s.operator(s.dump)))
	r.GET(opapi.HealthPath, s.answer("health", s.health))
	r.GET(opapi.MetricsPath, writeMetrics)
	r.NotFound = s.answer("other", noSuchPath)
	r.MethodNotAllowed = s.answer("other", wrongMethod)
	return r
}
