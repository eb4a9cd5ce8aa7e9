package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"
	"go.uber.org/dig"
	"go.uber.org/zap"

	"arbutuswing.example/endpt/internal/fault"
	"arbutuswing.example/endpt/internal/setup"
	"arbutuswing.example/endpt/internal/site"
	"arbutuswing.example/endpt/internal/tally"
	"arbutuswing.example/internal/config"
	"arbutuswing.example/internal/logs"
	"arbutuswing.example/internal/platf"
	"arbutuswing.example/internal/ports"
)

const (
	shutdownTimeout = 2 * time.Second
	drainPoll       = 10 * time.Millisecond
)

// Daemon runs many endpoints in one process.
type Daemon struct {
	settings  setup.Settings
	clock     clockwork.Clock
	log       *zap.Logger
	faults    *fault.Set
	counters  *tally.Counters
	platform  *platf.Client
	endpoints []*site.Endpoint
	admin     *fasthttp.Server
	failed    chan error
	running   sync.WaitGroup
	// ready is called once all endpoints listen.
	ready func()
}

// Run runs the endpoints of the settings file at path until ctx ends, then drains them; log lines go to out.
func Run(ctx context.Context, path string, out io.Writer) error {
	settings, err := config.Load[setup.Settings](path)
	if err != nil {
		return err
	}
	d, err := Build(settings, clockwork.NewRealClock(), out)
	if err != nil {
		return err
	}
	return d.Run(ctx)
}

// Build returns a daemon; the settings must be complete and checked.
func Build(settings setup.Settings, clock clockwork.Clock, out io.Writer) (*Daemon, error) {
	container := dig.New()
	for _, constructor := range []any{
		func() setup.Settings { return settings },
		func() clockwork.Clock { return clock },
		func() (*zap.Logger, error) { return logs.New(out, settings.LogLevel) },
		func() *fault.Set { return fault.NewSet(clock, settings.Seed) },
		tally.New, newPlatformClient, newDaemon,
	} {
		if err := container.Provide(constructor); err != nil {
			return nil, fmt.Errorf("building the endpoints: %w", err)
		}
	}
	var built *Daemon
	if err := container.Invoke(func(d *Daemon) { built = d }); err != nil {
		return nil, fmt.Errorf("building the endpoints: %w", err)
	}
	return built, nil
}

// newPlatformClient returns nil if no platform is configured.
func newPlatformClient(settings setup.Settings) (*platf.Client, error) {
	if settings.Platform == "" {
		return nil, nil
	}
	return platf.New(platf.Config{Address: settings.Platform, DataCentre: settings.Groups[0].DataCentre})
}

func newDaemon(
	settings setup.Settings, clock clockwork.Clock, log *zap.Logger, faults *fault.Set, counts *tally.Counters,
	platform *platf.Client,
) *Daemon {
	d := &Daemon{
		settings: settings, clock: clock, log: log, faults: faults, counters: counts, platform: platform,
		failed: make(chan error, len(settings.Specs())+1), ready: func() {},
	}
	for _, spec := range settings.Specs() {
		d.endpoints = append(d.endpoints,
			site.New(site.Deps{Spec: spec, Clock: clock, Log: log, Faults: faults, Counters: counts}))
	}
	d.admin = &fasthttp.Server{Handler: d.routes().Handler, NoDefaultServerHeader: true}
	return d
}

// Run serves the endpoints until ctx ends, then drains them.
func (d *Daemon) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", d.settings.Listen)
	if err != nil {
		return fmt.Errorf("listening: %w", err)
	}
	for _, e := range d.endpoints {
		if err := e.Listen(); err != nil {
			return err
		}
	}
	d.ready()
	go d.runAdmin(listener)
	for _, e := range d.endpoints {
		go d.runEndpoint(e)
	}
	registering, cancel := context.WithCancel(ctx)
	defer cancel()
	d.running.Add(1)
	go d.runRegister(registering)
	d.log.Info("serving", zap.String("address", listener.Addr().String()), zap.Int("endpoints", len(d.endpoints)))
	select {
	case err := <-d.failed:
		return err
	case <-ctx.Done():
	}
	d.running.Wait()
	return d.drain()
}

func (d *Daemon) runAdmin(listener net.Listener) {
	if err := d.admin.Serve(listener); err != nil {
		d.failed <- fmt.Errorf("serving the admin API: %w", err)
	}
}

func (d *Daemon) runEndpoint(e *site.Endpoint) {
	if err := e.RunHTTP(); err != nil {
		d.failed <- fmt.Errorf("endpoint %s: %w", e.Spec().ID, err)
	}
}

// runRegister registers the endpoints in the platform's instance list and retries until ctx ends.
func (d *Daemon) runRegister(ctx context.Context) {
	defer d.running.Done()
	if d.platform == nil {
		return
	}
	for _, e := range d.endpoints {
		_, err := backoff.Retry(ctx, func() (struct{}, error) {
			return struct{}{}, d.platform.Register(ctx, instanceFor(e.Spec()))
		}, backoff.WithMaxElapsedTime(0))
		if err != nil {
			d.log.Warn("registering endpoint failed", zap.String("endpoint", e.Spec().ID), zap.Error(err))
			return
		}
	}
	d.log.Info("registered", zap.Int("endpoints", len(d.endpoints)))
}

func instanceFor(spec setup.Spec) ports.Instance {
	return ports.Instance{
		ID: spec.ID, Role: ports.RoleEndpoint, DataCentre: spec.DataCentre, Address: spec.Address,
		Presence: ports.PresenceLive, Class: spec.Class, Slots: spec.Slots, Connections: spec.Connections,
	}
}

// leaveEndpoints makes the selected endpoints leave and returns their number. It also marks them as leaving in the
// platform's instance list, up to the first failure: a platform that doesn't answer would delay the other endpoints.
func (d *Daemon) leaveEndpoints(ctx context.Context, selected func(setup.Spec) bool) int {
	n := 0
	reachable := d.platform != nil
	for _, e := range d.endpoints {
		if !selected(e.Spec()) {
			continue
		}
		n++
		e.Leave()
		if !reachable {
			continue
		}
		if err := d.platform.Mark(ctx, e.Spec().ID, ports.PresenceLeaving); err != nil {
			d.log.Warn("marking endpoint as leaving failed", zap.String("endpoint", e.Spec().ID), zap.Error(err))
			reachable = false
		}
	}
	return n
}

// drain makes all endpoints leave, waits for running requests up to the drain time, and stops.
func (d *Daemon) drain() error {
	stopCtx, cancel := context.WithTimeout(context.Background(), d.settings.Drain.Std())
	defer cancel()
	started := d.clock.Now()
	d.log.Info("leaving")
	for _, e := range d.endpoints {
		e.Leave()
	}
	d.leaveEndpoints(stopCtx, func(setup.Spec) bool { return true })
	for stopCtx.Err() == nil && (d.counters.Report(false).Running > 0 || d.clock.Since(started) < d.settings.Linger.Std()) {
		d.clock.Sleep(drainPoll)
	}
	interrupted := d.counters.Report(false).Running
	err := d.stop()
	d.log.Info("stopped", zap.Int("interrupted", interrupted))
	return err
}

func (d *Daemon) stop() error {
	stopCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	failures := make([]error, 0, len(d.endpoints)+1)
	for _, e := range d.endpoints {
		failures = append(failures, e.Stop(stopCtx))
	}
	d.unregister(stopCtx)
	failures = append(failures, d.admin.ShutdownWithContext(stopCtx))
	return errors.Join(failures...)
}

// unregister removes the endpoints from the instance list. A failure is only logged: a planned stop succeeds even if the
// platform is down.
func (d *Daemon) unregister(ctx context.Context) {
	if d.platform == nil {
		return
	}
	for _, e := range d.endpoints {
		if err := d.platform.Remove(ctx, e.Spec().ID); err != nil {
			d.log.Warn("removing endpoint from the instance list failed", zap.String("endpoint", e.Spec().ID), zap.Error(err))
			return
		}
	}
}
