package slopes

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"arbutuswing.example/bench/internal/fits"
	"arbutuswing.example/bench/internal/meter"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/platf"
	"arbutuswing.example/internal/ports"
)

// errFewWorkers reports a stand-in with fewer workers than a measurement needs.
var errFewWorkers = errors.New("stand-in has too few workers")

const (
	leaseTTL     = 3 * time.Second
	taskTTL      = 20 * time.Second
	renewEvery   = time.Second
	renewRounds  = 5
	renewers     = 16
	reportFleet  = 100
	longTask     = time.Hour
	leaseTimeout = 5 * time.Second
)

// fleet renews leases of workers of a stand-in.
type fleet struct {
	client  *platf.Client
	workers []ports.Instance
	relay   string
	reports []ports.WorkerReport
}

// leases measures the renewals of workers, by their number and by the tasks that a worker reports.
func leases(cfg Config) ([]fits.Series, error) {
	if cfg.Platform == "" {
		_, _ = fmt.Fprintln(cfg.Log, "leases are left out: no stand-in was named")
		return nil, nil
	}
	var cpu, bytes, byTasks []fits.Point
	for _, n := range []int{10, 100, 500} {
		c, b, err := renewals(cfg.Platform, n, 0)
		if err != nil {
			return nil, err
		}
		cpu = append(cpu, fits.Point{X: float64(n), Y: c})
		bytes = append(bytes, fits.Point{X: float64(n), Y: b})
	}
	for _, tasks := range []int{0, 5, 10} {
		_, b, err := renewals(cfg.Platform, reportFleet, tasks)
		if err != nil {
			return nil, err
		}
		byTasks = append(byTasks, fits.Point{X: float64(tasks), Y: b / reportFleet})
	}
	return []fits.Series{
		fits.New("lease renewals each second, processor time of the holder", "worker", "us/s", cpu),
		fits.New("lease renewals each second, sent and received, without tasks", "worker", "bytes/s", bytes),
		fits.New("one lease renewal, sent and received", "task that the worker reports", "bytes", byTasks),
	}, nil
}

// renewals returns the processor time in microseconds and the bytes per second of renewing n workers with tasks each.
// The bytes are counted in a run of their own, because the relay that counts them takes processor time.
func renewals(platform string, n, tasks int) (float64, float64, error) {
	f, err := newFleet(platform, n)
	if err != nil {
		return 0, 0, err
	}
	defer f.client.Close()
	if err := f.acquire(tasks); err != nil {
		return 0, 0, err
	}
	before, err := meter.CPU()
	if err != nil {
		return 0, 0, err
	}
	if err := f.rounds(); err != nil {
		return 0, 0, err
	}
	after, err := meter.CPU()
	if err != nil {
		return 0, 0, err
	}
	bytes, err := f.counted(platform)
	if err != nil {
		return 0, 0, err
	}
	return micros(after-before) / renewRounds, bytes, f.release()
}

func newFleet(platform string, n int) (*fleet, error) {
	client, err := platf.New(platf.Config{Address: platform, DataCentre: "dc01", CommandTimeout: leaseTimeout})
	if err != nil {
		return nil, fmt.Errorf("making a platform client: %w", err)
	}
	list, err := client.List(context.Background())
	if err != nil {
		return nil, err
	}
	f := &fleet{client: client}
	for _, row := range list {
		if row.Role == ports.RoleWorker && len(f.workers) < n {
			f.workers = append(f.workers, row)
		}
	}
	if len(f.workers) < n {
		return nil, fmt.Errorf("%w: %d of %d", errFewWorkers, len(f.workers), n)
	}
	f.reports = make([]ports.WorkerReport, n)
	return f, nil
}

// each calls run for every worker, a few at a time, and returns the first error.
func (f *fleet) each(run func(i int, address string) error) error {
	var wg sync.WaitGroup
	failed := make([]error, renewers)
	for part := range renewers {
		wg.Go(func() {
			for i := part; i < len(f.workers) && failed[part] == nil; i += renewers {
				failed[part] = run(i, f.address(i))
			}
		})
	}
	wg.Wait()
	return errors.Join(failed...)
}

// address returns where the worker is reached, through the relay if there is one.
func (f *fleet) address(i int) string {
	address := f.workers[i].Address
	if f.relay == "" {
		return address
	}
	for k := range address {
		if address[k] == '/' {
			return f.relay + address[k:]
		}
	}
	return f.relay
}

func (f *fleet) acquire(tasks int) error {
	return f.each(func(i int, address string) error {
		if err := f.renew(i, address); err != nil || tasks == 0 {
			return err
		}
		starts := make([]ports.StartRequest, tasks)
		for k := range starts {
			starts[k] = ports.StartRequest{
				Attempt: model.AttemptID{Task: model.TaskID{Job: model.JobID(fmt.Sprintf("overnight-%08d", i)), Index: k}, Number: tasks},
				Team:    "team-001", Reservation: model.Resources{Cores: 500, Memory: 1024}, DeclaredRunTime: model.Duration(longTask),
				Service: true, TaskTTL: model.Duration(taskTTL),
			}
		}
		return f.client.Start(context.Background(), address, f.reports[i].Token, starts)
	})
}

func (f *fleet) renew(i int, address string) error {
	report, err := f.client.Lease(context.Background(), address, ports.LeaseRequest{
		Holder: "entry-dc01-1", Token: f.reports[i].Token, TTL: model.Duration(leaseTTL),
		TaskTTL: model.Duration(taskTTL), Basis: f.reports[i].Clock,
	})
	if err == nil {
		f.reports[i] = report
	}
	return err
}

// rounds renews all leases once per second.
func (f *fleet) rounds() error {
	for range renewRounds {
		began := time.Now()
		if err := f.each(f.renew); err != nil {
			return err
		}
		time.Sleep(renewEvery - time.Since(began))
	}
	return nil
}

// counted returns the bytes of one round of renewals.
func (f *fleet) counted(platform string) (float64, error) {
	relay, err := meter.NewRelay(platform)
	if err != nil {
		return 0, err
	}
	defer relay.Close()
	f.relay = relay.Address()
	defer func() { f.relay = "" }()
	defer f.client.Close()
	before := relay.Total()
	if err := f.each(f.renew); err != nil {
		return 0, err
	}
	return float64(relay.Total() - before), nil
}

// release ends the tasks and gives the leases back, so that the next measurement finds the workers idle.
func (f *fleet) release() error {
	return f.each(func(i int, address string) error {
		attempts := make([]model.AttemptID, 0, len(f.reports[i].Tasks))
		for _, t := range f.reports[i].Tasks {
			attempts = append(attempts, t.Attempt)
		}
		token := f.reports[i].Token
		if len(attempts) > 0 {
			if err := f.client.Stop(context.Background(), address, token, model.OutcomeStopped, attempts); err != nil {
				return err
			}
			if err := f.renew(i, address); err != nil {
				return err
			}
			if err := f.client.Acknowledge(context.Background(), address, token, attempts); err != nil {
				return err
			}
		}
		return f.client.Release(context.Background(), address, token)
	})
}
