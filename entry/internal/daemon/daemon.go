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
	// drainDelay is how long a stopping instance continues to accept calls, until clients and peers know that it stops.
	drainDelay = time.Second
	// leaveTimeout bounds the recording of this instance's departure.
	leaveTimeout = 5 * time.Second
	// connectionsInterval is the interval at which the connection limit per endpoint is adapted to the number of members.
	connectionsInterval = time.Second
)

// errAborted reports that a second signal interrupted the graceful stop.
var errAborted = errors.New("graceful stop was interrupted by a second signal")

// Run runs an entry instance until SIGTERM or SIGINT and then stops it gracefully. It returns an error if a component
// can't be built or fails, or if the graceful stop is incomplete.
func Run(settings config.Entry) error {
	container, err := newContainer(settings)
	if err != nil {
		return err
	}
	return container.Invoke(func(p components) error {
		d := &daemon{components: p, connections: connections{
			endpoint: p.Endpoint, limit: settings.Route.Connections, count: p.Members.Count,
		}}
		return d.run()
	})
}

// daemon runs the components and stops them in order.
type daemon struct {
	components
	connections connections
}

func (d *daemon) run() error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	defer signal.Stop(signals)

	// The placer stops before the stream, so that the ends of attempts that it knows of are still recorded.
	base, stopBase := context.WithCancel(context.Background())
	defer stopBase()
	placerBase, stopPlacer := context.WithCancel(base)
	defer stopPlacer()

	core, coreCtx := errgroup.WithContext(base)
	d.startCore(coreCtx, core)
	placers, placerCtx := errgroup.WithContext(placerBase)
	placers.Go(func() error { return d.Placer.Run(placerCtx) })
	placers.Go(func() error { return d.Leases.Run(placerCtx) })
	d.Log.Info("entry instance started", zap.String("version", Version),
		zap.String("caller-address", d.Settings.CallerAddress))

	cause := d.waitForStop(coreCtx, placerCtx, signals)
	stopped := d.stop(signals, cause, func() error {
		stopPlacer()
		return placers.Wait()
	})
	stopBase()
	if err := core.Wait(); err != nil && cause == nil {
		cause = err
	}
	d.Log.Info("entry instance stopped", zap.Error(errors.Join(cause, stopped)))
	return errors.Join(cause, stopped)
}

// startCore starts all components except the placer and the lease manager.
func (d *daemon) startCore(ctx context.Context, group *errgroup.Group) {
	group.Go(func() error { return d.Stream.Run(ctx) })
	group.Go(func() error { return d.Members.Run(ctx) })
	group.Go(func() error { return d.Peers.Run(ctx) })
	group.Go(func() error { return d.Once.Run(ctx) })
	group.Go(func() error { return d.Router.Run(ctx) })
	group.Go(func() error { return d.Memberships.run(ctx) })
	group.Go(func() error { return d.Pulls.Run(ctx) })
	group.Go(func() error { return d.Admin.Run(ctx) })
	group.Go(d.Front.Run)
	group.Go(func() error { return d.runConnections(ctx) })
}

func (d *daemon) runConnections(ctx context.Context) error {
	ticker := time.NewTicker(connectionsInterval)
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

// waitForStop returns nil on a signal to stop, or the error with which a component ended.
func (d *daemon) waitForStop(core, placers context.Context, signals <-chan os.Signal) error {
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGUSR1 {
				return nil
			}
			logDump(d.Log, d.Admin.Sections())
		case <-core.Done():
			return fmt.Errorf("a component of the entry instance failed: %w", context.Cause(core))
		case <-placers.Done():
			return fmt.Errorf("the placer failed: %w", context.Cause(placers))
		}
	}
}

// stop gives up the duties of this instance, waits for open calls to finish and records that the instance leaves.
func (d *daemon) stop(signals <-chan os.Signal, cause error, stopPlacer func() error) error {
	grace := d.Settings.Shutdown.Grace.Std()
	if cause != nil {
		grace = drainDelay
	}
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	d.Log.Info("entry instance is stopping", zap.Duration("grace", grace), zap.Error(cause))
	d.Members.Leave()
	d.Front.StartDraining()
	placersErr := stopPlacer()
	if d.waitDrainDelay(ctx, signals) != nil {
		return errAborted
	}
	frontErr := d.Front.Shutdown(ctx)
	drainErr := d.Router.Drain(ctx)
	d.Checker.Check(invar.GracefulStop, cause != nil || (frontErr == nil && drainErr == nil),
		"open calls were aborted after %s: %v", grace, errors.Join(frontErr, drainErr))
	leaveCtx, cancelLeave := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancelLeave()
	if err := d.Members.RecordLeft(leaveCtx); err != nil {
		// A peer records it once this instance no longer sends heartbeats.
		d.Log.Warn("leaving was not recorded", zap.Error(err))
	}
	return errors.Join(placersErr, frontErr, drainErr)
}

// waitDrainDelay waits drainDelay while clients and peers learn that this instance is leaving. It returns errAborted on a
// second signal.
func (d *daemon) waitDrainDelay(ctx context.Context, signals <-chan os.Signal) error {
	timer := time.NewTimer(drainDelay)
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
