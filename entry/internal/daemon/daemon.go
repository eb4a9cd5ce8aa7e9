package daemon

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"arbutuswing.example/internal/config"
	"arbutuswing.example/internal/invar"
)

const (
	// lameDuck is how long a stopping instance goes on serving while callers and peers learn of it.
	lameDuck = time.Second
	// leaveTimeout bounds the record of this instance's end and the return of its leases.
	leaveTimeout    = 5 * time.Second
	connectionsTick = time.Second
)

// errAborted reports that a second signal ended the graceful stop.
var errAborted = errors.New("graceful stop was cut short by a second signal")

// Run runs an entry instance until SIGTERM or SIGINT and then stops it gracefully.
func Run(settings config.Entry) error {
	container, err := build(settings)
	if err != nil {
		return err
	}
	return container.Invoke(func(p parts) error {
		d := &daemon{parts: p, connections: connections{
			endpoint: p.Endpoint, limit: settings.Route.Connections, count: p.Members.Count,
		}}
		return d.run()
	})
}

// daemon runs the parts.
type daemon struct {
	parts
	connections connections
}

func (d *daemon) run() error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	defer signal.Stop(signals)

	// The placer stops before the log does, so that the ends that it knows are recorded.
	base, stopBase := context.WithCancel(context.Background())
	defer stopBase()
	placing, stopPlacing := context.WithCancel(base)
	defer stopPlacing()

	core, coreCtx := errgroup.WithContext(base)
	d.startCore(coreCtx, core)
	placers, placerCtx := errgroup.WithContext(placing)
	placers.Go(func() error { return d.Placer.Run(placerCtx) })
	placers.Go(func() error { return d.Leases.Run(placerCtx) })
	d.Log.Info("entry instance started", zap.String("version", Version),
		zap.String("caller-address", d.Settings.CallerAddress))

	cause := d.wait(coreCtx, placerCtx, signals)
	stopped := d.stop(signals, cause, func() error {
		stopPlacing()
		return placers.Wait()
	})
	stopBase()
	if err := core.Wait(); err != nil && cause == nil {
		cause = err
	}
	d.Log.Info("entry instance stopped", zap.Error(errors.Join(cause, stopped)))
	return errors.Join(cause, stopped)
}

// startCore starts everything but the placer.
func (d *daemon) startCore(ctx context.Context, group *errgroup.Group) {
	group.Go(func() error { return d.Stream.Run(ctx) })
	group.Go(func() error { return d.Members.Run(ctx) })
	group.Go(func() error { return d.Peers.Run(ctx) })
	group.Go(func() error { return d.Once.Run(ctx) })
	group.Go(func() error { return d.Router.Run(ctx) })
	group.Go(func() error { return d.Feed.runUpdates(ctx) })
	group.Go(func() error { return d.Pulls.Run(ctx) })
	group.Go(func() error { return d.Admin.Run(ctx) })
	group.Go(d.Front.Run)
	group.Go(func() error { return d.runConnections(ctx) })
}

func (d *daemon) runConnections(ctx context.Context) error {
	ticker := time.NewTicker(connectionsTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			d.connections.adjust()
		}
	}
}

// wait returns nil when a signal asks for a stop, or the reason for which a part ended by itself.
func (d *daemon) wait(core, placers context.Context, signals <-chan os.Signal) error {
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGUSR1 {
				return nil
			}
			logDump(d.Log, d.Admin.Sections())
		case <-core.Done():
			return fmt.Errorf("a part of the entry instance failed: %w", context.Cause(core))
		case <-placers.Done():
			return fmt.Errorf("the placer failed: %w", context.Cause(placers))
		}
	}
}

// stop hands duties over, finishes open requests and leaves.
func (d *daemon) stop(signals <-chan os.Signal, cause error, stopPlacing func() error) error {
	grace := d.Settings.Shutdown.Grace.Std()
	if cause != nil {
		grace = lameDuck
	}
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	d.Log.Info("entry instance is stopping", zap.Duration("grace", grace), zap.Error(cause))
	d.Members.Leave()
	d.Front.Leave()
	placersErr := stopPlacing()
	if d.pause(ctx, signals) != nil {
		return errAborted
	}
	frontErr := d.Front.Shutdown(ctx)
	drainErr := d.Router.Drain(ctx)
	d.Checker.Check(invar.GracefulStop, cause != nil || (frontErr == nil && drainErr == nil),
		"open calls were cut off after %s: %v", grace, errors.Join(frontErr, drainErr))
	leaveCtx, cancelLeave := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancelLeave()
	if err := d.Members.RecordLeft(leaveCtx); err != nil {
		// A peer records it once this instance is silent.
		d.Log.Warn("leaving was not recorded", zap.Error(err))
	}
	return errors.Join(placersErr, frontErr, drainErr)
}

// pause lets callers and peers learn that this instance is leaving while it still serves.
func (d *daemon) pause(ctx context.Context, signals <-chan os.Signal) error {
	timer := time.NewTimer(lameDuck)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return nil
		case <-ctx.Done():
			return nil
		case s := <-signals:
			if s != syscall.SIGUSR1 {
				return errAborted
			}
		}
	}
}
