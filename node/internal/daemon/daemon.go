package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
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
	// drainAtLeast is how long a stopping node goes on taking requests while the platform learns that it isn't ready.
	drainAtLeast = 2500 * time.Millisecond
	// stopReserve is kept of the grace for ending the last requests.
	stopReserve = 1200 * time.Millisecond
	drainPoll   = 50 * time.Millisecond
	logsLimit   = 200 * time.Millisecond
)

// Run runs a node until SIGTERM or SIGINT and then stops it gracefully.
func Run(settingsFile string) error {
	settings, err := config.Load[config.Node](settingsFile)
	if err != nil {
		return err
	}
	container, err := build(settings)
	if err != nil {
		return err
	}
	return container.Invoke(func(p parts) error {
		d := &daemon{parts: p, file: settingsFile}
		return d.run()
	})
}

type daemon struct {
	parts
	file string
}

func (d *daemon) run() error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGUSR1)
	defer signal.Stop(signals)
	base, stopBase := context.WithCancel(context.Background())
	defer stopBase()
	owning, stopOwning := context.WithCancel(base)
	defer stopOwning()
	draining := make(chan struct{})
	readiness := adapt.NewReadiness(func() bool {
		select {
		case <-draining:
			return false
		default:
			return d.View.ready()
		}
	})
	group, ctx := errgroup.WithContext(base)
	group.Go(func() error { return d.View.termsMirror.Run(ctx) })
	group.Go(func() error { return d.Inbox.Run(ctx) })
	group.Go(func() error { return d.Directory.Run(ctx) })
	group.Go(func() error { return d.Peers.Run(ctx) })
	group.Go(func() error { return d.Metrics.Run(ctx) })
	group.Go(func() error { return d.Ingress.Run(d.Settings.ClientAddress) })
	servers, serversCtx := errgroup.WithContext(ctx)
	servers.Go(func() error { return readiness.Run(d.Settings.ReadinessAddress) })
	group.Go(func() error { return d.Owner.Run(owning) })
	d.Log.Info("node started", zap.String("version", Version), zap.String("data-centre", string(d.Settings.DataCentre)),
		zap.String("client-address", d.Settings.ClientAddress))
	cause := d.wait(serversCtx, signals)
	close(draining)
	stopOwning()
	err := d.stop(cause)
	stopBase()
	d.Log.Info("node stopped", zap.Error(err))
	d.Buffer.Close(logsLimit)
	return err
}

// wait returns nil when a signal asks for a stop, or the reason for which a part ended by itself.
func (d *daemon) wait(ctx context.Context, signals <-chan os.Signal) error {
	for {
		select {
		case s := <-signals:
			switch s {
			case syscall.SIGHUP:
				d.reload()
			case syscall.SIGUSR1:
				d.dump()
			default:
				return nil
			}
		case <-ctx.Done():
			return fmt.Errorf("a part of the node failed: %w", context.Cause(ctx))
		}
	}
}

// reload checks the settings again; the addresses of a running node stay as they are.
func (d *daemon) reload() {
	fresh, err := config.Load[config.Node](d.file)
	if err != nil {
		d.Log.Error("settings not reloaded", zap.Error(err))
		return
	}
	d.Log.Info("settings reloaded", zap.Bool("changed", fresh != d.Settings))
}

// dump logs what the node believes.
func (d *daemon) dump() {
	t, _ := d.View.Terms()
	dump, owns := d.Owner.Dump()
	contents, err := json.Marshal(dump)
	if err != nil {
		d.Log.Warn("state dump can't be shown", zap.Error(err))
		return
	}
	d.Log.Info("state dump", zap.Bool("ready", d.View.ready()), zap.Bool("owner", owns), zap.Int64("config-version", t.Version),
		zap.Int64("log-lines-left-out", d.Buffer.Dropped()), zap.ByteString("contents", contents))
}

// stop serves until no connection is left or the grace is nearly over.
func (d *daemon) stop(cause error) error {
	d.Ingress.Drain()
	begun := time.Now()
	limit := max(d.Settings.StopGrace.Std()-stopReserve, drainAtLeast)
	for {
		took := time.Since(begun)
		if took > limit || (took > drainAtLeast && d.Ingress.Connections() == 0) {
			break
		}
		time.Sleep(drainPoll)
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopReserve/2)
	defer cancel()
	if err := d.Ingress.Shutdown(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return errors.Join(cause, fmt.Errorf("stopping the client interface: %w", err))
	}
	return cause
}
