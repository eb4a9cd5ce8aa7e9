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

// Parts are what an endpoint consists of.
type Parts struct {
	Spec   setup.Spec
	Clock  clockwork.Clock
	Log    *zap.Logger
	Faults *fault.Set
	Tally  *tally.Tally
}

// Site is one endpoint.
type Site struct {
	spec    setup.Spec
	clock   clockwork.Clock
	log     *zap.Logger
	printer zapPrinter
	faults  *fault.Set
	tally   *tally.Tally
	http    *fasthttp.Server
	cross   crossing

	listener *listener

	mu           sync.Mutex
	busy         int
	runs         int
	leavingSince time.Time
}

// New returns an endpoint that doesn't listen yet.
func New(parts Parts) *Site {
	s := &Site{
		spec: parts.Spec, clock: parts.Clock, faults: parts.Faults, tally: parts.Tally,
		log: parts.Log.With(zap.String("endpoint", parts.Spec.ID)),
	}
	s.printer = zapPrinter{s.log}
	s.http = &fasthttp.Server{
		Handler: s.handle, Name: "aw-endpt", IdleTimeout: idleTimeout, MaxRequestBodySize: maxBody,
		ReadBufferSize: readBuffer, NoDefaultServerHeader: true, Logger: s.printer,
	}
	return s
}

// Spec returns the endpoint's description.
func (s *Site) Spec() setup.Spec { return s.spec }

// Listen binds the endpoint's address.
func (s *Site) Listen() error {
	inner, err := net.Listen("tcp", s.spec.Address)
	if err != nil {
		return fmt.Errorf("endpoint %s: %w", s.spec.ID, err)
	}
	s.spec.Address = inner.Addr().String()
	s.listener = newListener(inner, s)
	return nil
}

// RunHTTP serves until Stop.
func (s *Site) RunHTTP() error { return s.http.Serve(s.listener) }

// Silence turns the open connections into silent ones and returns their number.
func (s *Site) Silence() int { return s.listener.silence() }

// Leave makes the endpoint refuse new requests from now on.
func (s *Site) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leavingSince.IsZero() {
		s.leavingSince = s.clock.Now()
	}
}

// Stop waits for running requests until ctx ends and closes all connections.
func (s *Site) Stop(ctx context.Context) error {
	err := s.http.ShutdownWithContext(ctx)
	s.listener.release()
	return err
}

// Load returns the endpoint's present counts.
func (s *Site) Load() tally.Load {
	open, peak, silent := s.listener.counts()
	s.mu.Lock()
	defer s.mu.Unlock()
	return tally.Load{
		Runs: s.runs, Busy: s.busy, Connections: open, PeakConnections: peak, Silent: silent,
		Leaving: !s.leavingSince.IsZero(),
	}
}

// leavingFor returns how long the endpoint has been leaving; ok is false if it isn't.
func (s *Site) leavingFor() (since time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leavingSince.IsZero() {
		return 0, false
	}
	return s.clock.Now().Sub(s.leavingSince), true
}

// takeSlot reports whether a slot was free, unless the endpoint is leaving.
func (s *Site) takeSlot() (free, leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leavingSince.IsZero() {
		return false, true
	}
	if s.busy >= s.spec.Slots {
		return false, false
	}
	s.busy++
	s.runs++
	return true, false
}

func (s *Site) freeSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy--
}

func (s *Site) busySlots() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strconv.Itoa(s.busy)
}

func (s *Site) handle(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.SetBytesV(ephttp.HeaderAttempt, ctx.Request.Header.Peek(ephttp.HeaderAttempt))
	switch {
	case string(ctx.Path()) == "/ping" && ctx.IsGet():
		ctx.Response.Header.Set(ephttp.HeaderBusy, s.busySlots())
	case string(ctx.Path()) == ephttp.PathRun && ctx.IsPost():
		s.run(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func newReader(conn net.Conn) *bufio.Reader { return bufio.NewReaderSize(conn, readBuffer) }

// zapPrinter passes on what the HTTP library reports about connections.
type zapPrinter struct{ log *zap.Logger }

// Printf logs one event.
func (z zapPrinter) Printf(format string, args ...any) {
	z.log.Debug("http", zap.String("detail", fmt.Sprintf(format, args...)))
}
