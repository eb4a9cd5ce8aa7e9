package daemon

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/dig"
	"go.uber.org/zap"

	"arbutuswing.example/internal/config"
	"arbutuswing.example/internal/logs"
	"arbutuswing.example/standin/internal/fault"
	"arbutuswing.example/standin/internal/fleet"
	"arbutuswing.example/standin/internal/roster"
	"arbutuswing.example/standin/internal/server"
	"arbutuswing.example/standin/internal/setup"
	"arbutuswing.example/standin/internal/store"
)

// Run serves with the settings of the file at path until ctx ends; log lines go to out.
func Run(ctx context.Context, path string, out io.Writer) error {
	settings, err := config.Load[setup.Settings](path)
	if err != nil {
		return err
	}
	s, err := Build(settings, clockwork.NewRealClock(), out)
	if err != nil {
		return err
	}
	return s.Run(ctx)
}

// Build returns a server; the settings must be complete and checked.
func Build(settings setup.Settings, clock clockwork.Clock, out io.Writer) (*server.Server, error) {
	container := dig.New()
	for _, constructor := range []any{
		func() setup.Settings { return settings },
		func() clockwork.Clock { return clock },
		func() (*zap.Logger, error) { return logs.New(out, settings.LogLevel) },
		newFaults, newStore, newInstanceList, newFleet, newServer,
	} {
		if err := container.Provide(constructor); err != nil {
			return nil, fmt.Errorf("building the stand-in: %w", err)
		}
	}
	var built *server.Server
	if err := container.Invoke(func(s *server.Server) { built = s }); err != nil {
		return nil, fmt.Errorf("building the stand-in: %w", err)
	}
	return built, nil
}

func newFaults(settings setup.Settings, clock clockwork.Clock) *fault.Set {
	return fault.NewSet(clock, settings.Seed)
}

func newStore(settings setup.Settings, clock clockwork.Clock) *store.Store {
	return store.New(store.Config{
		Clock: clock, AppendsPerSecond: settings.Log.AppendsPerSecond, Burst: settings.Log.Burst,
		KeepRecords: settings.Log.KeepRecords, KeepFor: settings.Log.KeepFor.Std(), MaxBytes: settings.Log.MaxBytes,
	})
}

func newInstanceList(settings setup.Settings, clock clockwork.Clock, faults *fault.Set) *roster.InstanceList {
	return roster.New(roster.Config{
		Clock: clock, Instances: settings.InitialInstances(),
		Lag: func() time.Duration { return faults.EffectiveListLag(settings.ListLag.Std()) },
	})
}

func newFleet(settings setup.Settings, clock clockwork.Clock, faults *fault.Set) *fleet.Fleet {
	return fleet.New(fleet.Config{
		Clock: clock, Seed: settings.Seed, RunTime: settings.Tasks.RunTime, Peak: settings.Tasks.Peak,
		Scale: settings.Tasks.Scale, UsageLag: settings.Tasks.UsageLag.Std(), Workers: settings.WorkerSpecs(), Faults: faults,
	})
}

func newServer(
	settings setup.Settings, clock clockwork.Clock, log *zap.Logger, faults *fault.Set,
	records *store.Store, list *roster.InstanceList, workers *fleet.Fleet,
) *server.Server {
	return server.New(server.Deps{
		Settings: settings, Clock: clock, Log: log, Faults: faults, Store: records, Instances: list, Fleet: workers,
	})
}
