package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"arbutuswing.example/internal/config"
	adapt "arbutuswing.example/platform"
)

// Version is the version of aw-node.
const Version = "0.1.0"

const (
	// minDrainTime is the minimum time for which a stopping node goes on serving requests, so that the platform notices before
	// the stop that it isn't ready.
	minDrainTime = 2500 * time.Millisecond
	// lastCallTime is the part of the stop grace that is kept for calls that were read before the node stopped listening, and
	// answerMargin the part of it in which the last answers are written.
	lastCallTime = 1200 * time.Millisecond
	answerMargin = 150 * time.Millisecond
	// lastReadTime is the time for which connections that were open when the node stopped listening may still send a request.
	lastReadTime = 300 * time.Millisecond
	// exitMargin is the part that is kept beside the timeouts of the components and the log, for a process that is short of processor
	// time.
	exitMargin = 150 * time.Millisecond
	// gcPercent is the growth of the heap, in percent, after which garbage is collected. memoryLimitShare is the share of the
	// node's memory from which on it is collected more often; the rest is for what the collector doesn't see.
	gcPercent         = 250
	memoryLimitShare  = 0.75
	drainPollInterval = 50 * time.Millisecond
	logFlushTimeout   = 200 * time.Millisecond
	minLogFlush       = 20 * time.Millisecond
	// componentsTimeout bounds the wait for the components to end, so that their last calls and log lines get out.
	componentsTimeout = 200 * time.Millisecond
)

// Run runs a node until SIGTERM or SIGINT and then stops it gracefully. It returns an error if the settings are invalid or a
// component failed.
func Run(settingsFile string) error {
	settings, err := config.Load[config.Node](settingsFile)
	if err != nil {
		return err
	}
	limitMemory(settings.MemoryMiB)
	container, err := newContainer(settings)
	if err != nil {
		return err
	}
	return container.Invoke(func(p components) error {
		d := &daemon{components: p, file: settingsFile}
		return d.run()
	})
}

// limitMemory makes garbage collections rare while memory is plenty, because an owner's processor is scarcer, and frequent
// near the limit.
func limitMemory(mib int64) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(mib<<20) * memoryLimitShare))
}

type daemon struct {
	components
	file string
}

func (d *daemon) run() error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGUSR1)
	defer signal.Stop(signals)
	base, stopBase := context.WithCancel(context.Background())
	defer stopBase()
	if err := d.Ingress.Listen(d.Settings.ClientAddress); err != nil {
		return err
	}
	ownerCtx, stopOwner := context.WithCancel(base)
	defer stopOwner()
	draining := make(chan struct{})
	readiness := adapt.NewReadiness(func() bool {
		select {
		case <-draining:
			return false
		default:
			return d.View.ready()
		}
	})
	// A component that fails stops the node gracefully: the others run until calls are answered.
	group, failed := errgroup.WithContext(base)
	group.Go(func() error { return d.View.configurationMirror.Run(base) })
	group.Go(func() error { return d.Inbox.Run(base) })
	group.Go(func() error { return d.Directory.Run(base) })
	group.Go(func() error { return d.Peers.Run(base) })
	group.Go(func() error { return d.Metrics.Run(base) })
	group.Go(d.Ingress.Run)
	servers, serversCtx := errgroup.WithContext(failed)
	servers.Go(func() error { return readiness.Run(d.Settings.ReadinessAddress) })
	group.Go(func() error { return d.Owner.Run(ownerCtx) })
	d.Log.Info("node started", zap.String("version", Version), zap.String("data-centre", string(d.Settings.DataCentre)),
		zap.String("client-address", d.Settings.ClientAddress))
	cause := d.wait(serversCtx, signals)
	start, plan := time.Now(), planStop(d.Settings.StopGrace.Std())
	close(draining)
	stopOwner()
	cut := d.stop(start, plan)
	stopBase()
	exitBy := start.Add(plan.exitBy)
	awaitComponents(group, min(componentsTimeout, time.Until(exitBy)))
	d.Log.Info("node stopped", zap.Int("calls-cut", cut), zap.Duration("took", time.Since(start)), zap.Error(cause))
	d.Buffer.Close(min(logFlushTimeout, max(time.Until(exitBy), minLogFlush)))
	return cause
}

// awaitComponents waits until the components have ended, but at most for the timeout.
func awaitComponents(group *errgroup.Group, timeout time.Duration) {
	w := componentWaiter{group, make(chan struct{})}
	go w.run()
	select {
	case <-w.ended:
	case <-time.After(timeout):
	}
}

// componentWaiter closes ended once all components of the group have ended.
type componentWaiter struct {
	group *errgroup.Group
	ended chan struct{}
}

func (w componentWaiter) run() {
	// The first error of a component has already made the node stop.
	_ = w.group.Wait()
	close(w.ended)
}

// wait handles signals until one asks for a stop. It returns nil then, or the error of a component that has ended by itself.
func (d *daemon) wait(ctx context.Context, signals <-chan os.Signal) error {
	for {
		select {
		case s := <-signals:
			switch s {
			case syscall.SIGHUP:
				d.checkSettings()
			case syscall.SIGUSR1:
				d.dump()
			default:
				return nil
			}
		case <-ctx.Done():
			return fmt.Errorf("a component of the node failed: %w", context.Cause(ctx))
		}
	}
}

// checkSettings reads and checks the settings again and logs whether they have changed. A running node keeps its settings.
func (d *daemon) checkSettings() {
	fresh, err := config.Load[config.Node](d.file)
	if err != nil {
		d.Log.Error("settings on disk are invalid", zap.Error(err))
		return
	}
	d.Log.Info("settings checked, a restart applies them", zap.Bool("changed", fresh != d.Settings))
}

// dump logs the node's state.
func (d *daemon) dump() {
	configuration, _ := d.View.Configuration()
	dump, isOwner := d.Owner.Dump()
	contents, err := json.Marshal(dump)
	if err != nil {
		d.Log.Warn("encoding the state dump failed", zap.Error(err))
		return
	}
	d.Log.Info("state dump", zap.Bool("ready", d.View.ready()), zap.Bool("owner", isOwner),
		zap.Int64("config-version", configuration.Version), zap.Int64("log-lines-left-out", d.Buffer.Dropped()),
		zap.ByteString("contents", contents))
}

// stopPlan divides the stop grace among the stages of a stop, in times since its begin.
type stopPlan struct {
	// serveUntil is until when new connections are accepted, readUntil until when requests are read, and answerBy when calls that wait
	// for another process are ended.
	serveUntil, readUntil, answerBy time.Duration
	// exitBy is when the process ends even if answers are still being written. What is left between answerBy and exitBy is for the
	// components and the log.
	exitBy time.Duration
}

func planStop(grace time.Duration) stopPlan {
	exitBy := max(grace-exitMargin, 0)
	answerBy := max(exitBy-componentsTimeout-logFlushTimeout-answerMargin, 0)
	serveUntil := min(max(grace-lastCallTime, minDrainTime), answerBy)
	return stopPlan{serveUntil, min(serveUntil+lastReadTime, answerBy), answerBy, exitBy}
}

// stop drains the client connections until none is left or the stop grace is nearly over. It returns the number of calls that it
// leaves without an answer.
func (d *daemon) stop(start time.Time, plan stopPlan) int {
	d.Ingress.Drain(start.Add(plan.answerBy))
	d.logStop("node is stopping")
	plan = d.serveLast(start, plan)
	d.Ingress.Drain(start.Add(plan.answerBy))
	if err := d.Ingress.StopListening(time.Now().Add(plan.readUntil - plan.serveUntil)); err != nil {
		d.Log.Warn("stopping to listen for clients failed", zap.Error(err))
	}
	d.logStop("node no longer listens")
	ended := func() bool { return d.Ingress.Progress().Ended() }
	d.pollUntil(start.Add(plan.answerBy), ended)
	if !ended() {
		d.logStop("calls in progress are ended")
	}
	// A process that is short of processor time is late with the last answers: components and log get what these leave.
	d.pollUntil(start.Add(plan.exitBy), ended)
	return d.Ingress.Progress().Requests
}

// withStandstill returns the plan of a process that has stood still for the given time at most since the begin of its stop. It may do so
// again and has got the signal late, so that it leaves itself that much more time.
func (p stopPlan) withStandstill(standstill time.Duration) stopPlan {
	p.serveUntil = max(p.serveUntil-standstill, min(minDrainTime, p.serveUntil))
	p.answerBy = max(p.answerBy-standstill, min(p.serveUntil+lastReadTime, p.answerBy))
	p.readUntil = min(p.serveUntil+lastReadTime, p.answerBy)
	return p
}

// serveLast waits until the node has to stop listening, or until no connection is open and the platform has noticed the stop. It
// returns the plan for the rest of the stop.
func (d *daemon) serveLast(start time.Time, plan stopPlan) stopPlan {
	standstill := time.Duration(0)
	for {
		now := time.Now()
		served, current := now.Sub(start), plan.withStandstill(standstill)
		if served >= current.serveUntil || (served > minDrainTime && d.Ingress.Progress().Connections == 0) {
			return current
		}
		time.Sleep(drainPollInterval)
		standstill = max(standstill, time.Since(now)-drainPollInterval)
	}
}

// pollUntil waits until done returns true or the time has come.
func (d *daemon) pollUntil(end time.Time, done func() bool) {
	for time.Now().Before(end) && !done() {
		time.Sleep(drainPollInterval)
	}
}

// logStop logs a stage of the stop with the calls in progress.
func (d *daemon) logStop(message string) {
	p := d.Ingress.Progress()
	d.Log.Info(message, zap.Int("connections", p.Connections), zap.Int("calls-in-progress", p.Requests),
		zap.Duration("oldest-call", p.Oldest))
}
