package site

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"arbutuswing.example/endpt/internal/fault"
	"arbutuswing.example/endpt/internal/setup"
	"arbutuswing.example/endpt/internal/tally"
	"arbutuswing.example/internal/ephttp"
)

const (
	idleTimeout = 2 * time.Minute
	maxBody     = 64 << 20
	readBuffer  = 16 << 10
)

// Deps holds the description of an endpoint and what it needs.
type Deps struct {
	Spec     setup.Spec
	Clock    clockwork.Clock
	Log      *zap.Logger
	Faults   *fault.Set
	Counters *tally.Counters
}

// Endpoint is one simulated endpoint.
type Endpoint struct {
	spec       setup.Spec
	clock      clockwork.Clock
	log        *zap.Logger
	httpLogger httpLogger
	faults     *fault.Set
	counters   *tally.Counters
	http       *fasthttp.Server
	swapper    answerSwapper

	listener *limitedListener

	mu           sync.Mutex
	busy         int
	runs         int
	leavingSince time.Time
}

// New returns an endpoint that doesn't listen yet.
func New(deps Deps) *Endpoint {
	e := &Endpoint{
		spec: deps.Spec, clock: deps.Clock, faults: deps.Faults, counters: deps.Counters,
		log: deps.Log.With(zap.String("endpoint", deps.Spec.ID)),
	}
	e.httpLogger = httpLogger{e.log}
	e.http = &fasthttp.Server{
		Handler: e.handleRequest, Name: "aw-endpt", IdleTimeout: idleTimeout, MaxRequestBodySize: maxBody,
		ReadBufferSize: readBuffer, NoDefaultServerHeader: true, Logger: e.httpLogger,
	}
	return e
}

// Spec returns the endpoint's description.
func (e *Endpoint) Spec() setup.Spec { return e.spec }

// Listen binds the endpoint's address.
func (e *Endpoint) Listen() error {
	inner, err := net.Listen("tcp", e.spec.Address)
	if err != nil {
		return fmt.Errorf("endpoint %s: %w", e.spec.ID, err)
	}
	e.spec.Address = inner.Addr().String()
	e.listener = newLimitedListener(inner, e)
	return nil
}

// RunHTTP serves until Stop.
func (e *Endpoint) RunHTTP() error { return e.http.Serve(e.listener) }

// SilenceConnections makes the open connections silent and returns their number.
func (e *Endpoint) SilenceConnections() int { return e.listener.silenceOpen() }

// Leave makes the endpoint refuse new requests as leaving from now on.
func (e *Endpoint) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leavingSince.IsZero() {
		e.leavingSince = e.clock.Now()
	}
}

// Stop waits for running requests until ctx ends and closes all connections.
func (e *Endpoint) Stop(ctx context.Context) error {
	err := e.http.ShutdownWithContext(ctx)
	e.listener.closeSilent()
	return err
}

// Load returns the endpoint's current counts.
func (e *Endpoint) Load() tally.Load {
	open, peak, silent := e.listener.counts()
	e.mu.Lock()
	defer e.mu.Unlock()
	return tally.Load{
		Runs: e.runs, Busy: e.busy, Connections: open, PeakConnections: peak, Silent: silent,
		Leaving: !e.leavingSince.IsZero(),
	}
}

// leavingFor returns how long the endpoint has been leaving; ok is false if it isn't.
func (e *Endpoint) leavingFor() (elapsed time.Duration, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leavingSince.IsZero() {
		return 0, false
	}
	return e.clock.Now().Sub(e.leavingSince), true
}

// takeSlot takes a slot if one is free and the endpoint is not leaving.
func (e *Endpoint) takeSlot() (free, leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.leavingSince.IsZero() {
		return false, true
	}
	if e.busy >= e.spec.Slots {
		return false, false
	}
	e.busy++
	e.runs++
	return true, false
}

func (e *Endpoint) freeSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.busy--
}

func (e *Endpoint) busySlots() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return strconv.Itoa(e.busy)
}

func (e *Endpoint) handleRequest(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.SetBytesV(ephttp.HeaderAttempt, ctx.Request.Header.Peek(ephttp.HeaderAttempt))
	switch {
	case string(ctx.Path()) == "/ping" && ctx.IsGet():
		ctx.Response.Header.Set(ephttp.HeaderBusy, e.busySlots())
	case string(ctx.Path()) == ephttp.PathRun && ctx.IsPost():
		e.handleRun(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func newReader(conn net.Conn) *bufio.Reader { return bufio.NewReaderSize(conn, readBuffer) }

// httpLogger logs the HTTP library's messages about connections.
type httpLogger struct{ log *zap.Logger }

// Printf logs one message.
func (z httpLogger) Printf(format string, args ...any) {
	z.log.Debug("http", zap.String("detail", fmt.Sprintf(format, args...)))
}
