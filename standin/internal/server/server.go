package server

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/fasthttp/router"
	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/platf"
	"arbutuswing.example/internal/ports"
	"arbutuswing.example/standin/internal/fault"
	"arbutuswing.example/standin/internal/fleet"
	"arbutuswing.example/standin/internal/roster"
	"arbutuswing.example/standin/internal/setup"
	"arbutuswing.example/standin/internal/store"
)

const (
	idleTimeout     = 2 * time.Minute
	shutdownTimeout = 2 * time.Second
	maxBodyBytes    = 16 << 20
)

// Deps holds the parts of the stand-in that a server exposes.
type Deps struct {
	Settings  setup.Settings
	Clock     clockwork.Clock
	Log       *zap.Logger
	Faults    *fault.Set
	Store     *store.Store
	Instances *roster.InstanceList
	Fleet     *fleet.Fleet
}

// Server serves the stand-in's HTTP interface.
type Server struct {
	Deps
	// closing ends long polls, delays and unanswered calls when the server stops.
	closing context.Context
	close   context.CancelFunc
	http    *fasthttp.Server
	failed  chan error
}

// New returns a server that doesn't listen yet.
func New(deps Deps) *Server {
	closing, stop := context.WithCancel(context.Background())
	s := &Server{Deps: deps, closing: closing, close: stop, failed: make(chan error, 1)}
	s.http = &fasthttp.Server{
		Handler: s.routes().Handler, Name: "aw-standin", IdleTimeout: idleTimeout, MaxRequestBodySize: maxBodyBytes,
		NoDefaultServerHeader: true, Logger: httpLogger{deps.Log},
	}
	return s
}

func (s *Server) routes() *router.Router {
	r := router.New()
	r.GET("/health", func(ctx *fasthttp.RequestCtx) { writeJSON(ctx, struct{}{}) })
	r.GET("/ping", func(ctx *fasthttp.RequestCtx) { writeJSON(ctx, struct{}{}) })
	r.POST(platf.PathRecords, s.withLogFaults(s.appendRecord))
	r.GET(platf.PathRecords, s.withLogFaults(s.readRecords))
	r.GET(platf.PathList, s.withListFaults(s.listInstances))
	r.POST(platf.PathInstances, s.withListFaults(s.register))
	r.POST(platf.PathInstances+"/{id}/presence", s.withListFaults(s.setPresence))
	r.DELETE(platf.PathInstances+"/{id}", s.withListFaults(s.remove))
	s.routeWorkers(r.Group(setup.WorkerPath + "{worker}"))
	r.GET("/workers/{worker}", s.inspect)
	r.POST("/faults", s.addFault)
	r.GET("/faults", s.listFaults)
	r.DELETE("/faults", s.clearFault)
	r.DELETE("/faults/{id}", s.clearFault)
	r.GET("/audit", s.audit)
	return r
}

// Run serves on the configured address until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", s.Settings.Listen)
	if err != nil {
		return fmt.Errorf("listening: %w", err)
	}
	return s.Serve(ctx, listener)
}

// Serve serves on a listener until ctx ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	s.Log.Info("serving", zap.String("address", listener.Addr().String()))
	go s.runHTTP(listener)
	select {
	case err := <-s.failed:
		return fmt.Errorf("serving: %w", err)
	case <-ctx.Done():
	}
	s.close()
	limit, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := s.http.ShutdownWithContext(limit); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("shutting down: %w", err)
	}
	s.Log.Info("stopped")
	return nil
}

func (s *Server) runHTTP(listener net.Listener) {
	if err := s.http.Serve(listener); err != nil {
		s.failed <- err
	}
}

// leaveUnanswered keeps the caller waiting for the configured time and then closes its connection without an answer.
func (s *Server) leaveUnanswered(ctx *fasthttp.RequestCtx) {
	timer := s.Clock.NewTimer(s.Settings.SilentFor.Std())
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-s.closing.Done():
	}
	closeConnection(ctx)
}

// closeConnection closes the caller's connection without an answer.
func closeConnection(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
}

// callerDataCentre returns the data centre that the caller names in a header, or an empty one.
func callerDataCentre(ctx *fasthttp.RequestCtx) model.DataCentreID {
	return model.DataCentreID(ctx.Request.Header.Peek(platf.HeaderDataCentre))
}

func pathParam(ctx *fasthttp.RequestCtx, name string) string {
	value, _ := ctx.UserValue(name).(string)
	return value
}

func writeJSON(ctx *fasthttp.RequestCtx, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		writeRefusal(ctx, fasthttp.StatusInternalServerError, "", err)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

func writeRefusal(ctx *fasthttp.RequestCtx, status int, code platf.Code, cause error) {
	data, err := json.Marshal(platf.Refusal{Code: code, Detail: cause.Error()})
	if err != nil {
		data = nil
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

// writeError answers with the status and the code that the platform client expects for an error.
func writeError(ctx *fasthttp.RequestCtx, err error) {
	for _, mapping := range []struct {
		err    error
		status int
		code   platf.Code
	}{
		{ports.ErrLeaseHeld, fasthttp.StatusLocked, platf.CodeLeaseHeld},
		{ports.ErrStaleToken, fasthttp.StatusPreconditionFailed, platf.CodeStaleToken},
		{ports.ErrUnknownTask, fasthttp.StatusNotFound, platf.CodeUnknownTask},
		{ports.ErrThrottled, fasthttp.StatusTooManyRequests, platf.CodeThrottled},
		{ports.ErrTruncated, fasthttp.StatusGone, platf.CodeTruncated},
		{ports.ErrUnavailable, fasthttp.StatusServiceUnavailable, platf.CodeUnavailable},
		{fleet.ErrUnknownWorker, fasthttp.StatusNotFound, platf.CodeNotFound},
		{roster.ErrUnknownInstance, fasthttp.StatusNotFound, platf.CodeNotFound},
		{fault.ErrUnknownFault, fasthttp.StatusNotFound, platf.CodeNotFound},
	} {
		if errors.Is(err, mapping.err) {
			writeRefusal(ctx, mapping.status, mapping.code, err)
			return
		}
	}
	writeRefusal(ctx, fasthttp.StatusBadRequest, platf.CodeBadRequest, err)
}

// decodeBody decodes a JSON body; an unknown key is an error.
func decodeBody(ctx *fasthttp.RequestCtx, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(ctx.PostBody()))
	decoder.DisallowUnknownFields()
	return decoder.Decode(into)
}

// httpLogger logs the HTTP library's messages about connections.
type httpLogger struct{ log *zap.Logger }

// Printf logs one message.
func (z httpLogger) Printf(format string, args ...any) {
	z.log.Debug("http", zap.String("detail", fmt.Sprintf(format, args...)))
}
