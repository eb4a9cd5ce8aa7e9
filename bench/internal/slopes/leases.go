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

// errTooFewWorkers reports a stand-in with fewer workers than a measurement needs.
var errTooFewWorkers = errors.New("stand-in has too few workers")

const (
	leaseTTL      = 3 * time.Second
	taskTTL       = 20 * time.Second
	renewInterval = time.Second
	renewRounds   = 5
	parallelCalls = 16
	// reportWorkers is the number of workers in the measurements by the number of reported tasks.
	reportWorkers  = 100
	taskRunTime    = time.Hour
	commandTimeout = 5 * time.Second
)

// leaseHolder holds and renews the leases of workers of a stand-in. relay, if set, is the address of a relay that calls
// go through.
type leaseHolder struct {
	client  *platf.Client
	workers []ports.Instance
	relay   string
	reports []ports.WorkerReport
}

// leaseRenewals measures the cost of lease renewals, by the number of workers and by the tasks that a worker reports.
func leaseRenewals(cfg Config) ([]fits.Series, error) {
	if cfg.Platform == "" {
		_, _ = fmt.Fprintln(cfg.Log, "skipping leases: no stand-in address given (--platform)")
		return nil, nil
	}
	var cpu, bytes, byTasks []fits.Point
	for _, n := range []int{10, 100, 500} {
		c, b, err := renewalCost(cfg.Platform, n, 0)
		if err != nil {
			return nil, err
		}
		cpu = append(cpu, fits.Point{X: float64(n), Y: c})
		bytes = append(bytes, fits.Point{X: float64(n), Y: b})
	}
	for _, tasks := range []int{0, 5, 10} {
		_, b, err := renewalCost(cfg.Platform, reportWorkers, tasks)
		if err != nil {
			return nil, err
		}
		byTasks = append(byTasks, fits.Point{X: float64(tasks), Y: b / reportWorkers})
	}
	return []fits.Series{
		fits.New("lease renewals each second, processor time of the holder", "worker", "us/s", cpu),
		fits.New("lease renewals each second, sent and received, without tasks", "worker", "bytes/s", bytes),
		fits.New("one lease renewal, sent and received", "task that the worker reports", "bytes", byTasks),
	}, nil
}

// renewalCost returns the processor time in microseconds and the bytes per second of renewing the leases of n workers
// with the given number of tasks each. The bytes are counted in a separate round, because the relay that counts them
// uses processor time itself.
func renewalCost(platform string, n, tasks int) (float64, float64, error) {
	h, err := newLeaseHolder(platform, n)
	if err != nil {
		return 0, 0, err
	}
	defer h.client.Close()
	if err := h.acquireLeases(tasks); err != nil {
		return 0, 0, err
	}
	before, err := meter.CPU()
	if err != nil {
		return 0, 0, err
	}
	if err := h.renewInRounds(); err != nil {
		return 0, 0, err
	}
	after, err := meter.CPU()
	if err != nil {
		return 0, 0, err
	}
	bytes, err := h.renewalBytes(platform)
	if err != nil {
		return 0, 0, err
	}
	return microseconds(after-before) / renewRounds, bytes, h.releaseLeases()
}

func newLeaseHolder(platform string, n int) (*leaseHolder, error) {
	client, err := platf.New(platf.Config{Address: platform, DataCentre: "dc01", CommandTimeout: commandTimeout})
	if err != nil {
		return nil, fmt.Errorf("creating a platform client: %w", err)
	}
	list, err := client.List(context.Background())
	if err != nil {
		return nil, err
	}
	h := &leaseHolder{client: client}
	for _, instance := range list {
		if instance.Role == ports.RoleWorker && len(h.workers) < n {
			h.workers = append(h.workers, instance)
		}
	}
	if len(h.workers) < n {
		return nil, fmt.Errorf("%w: %d of %d", errTooFewWorkers, len(h.workers), n)
	}
	h.reports = make([]ports.WorkerReport, n)
	return h, nil
}

// forEachWorker calls run for every worker, parallelCalls at a time, and returns the errors; a goroutine stops at its
// first error.
func (h *leaseHolder) forEachWorker(run func(i int, address string) error) error {
	var wg sync.WaitGroup
	errs := make([]error, parallelCalls)
	for part := range parallelCalls {
		wg.Go(func() {
			for i := part; i < len(h.workers) && errs[part] == nil; i += parallelCalls {
				errs[part] = run(i, h.address(i))
			}
		})
	}
	wg.Wait()
	return errors.Join(errs...)
}

// address returns the address at which the worker is reached, through the relay if one is set.
func (h *leaseHolder) address(i int) string {
	address := h.workers[i].Address
	if h.relay == "" {
		return address
	}
	for k := range address {
		if address[k] == '/' {
			return h.relay + address[k:]
		}
	}
	return h.relay
}

func (h *leaseHolder) acquireLeases(tasks int) error {
	return h.forEachWorker(func(i int, address string) error {
		if err := h.renewLease(i, address); err != nil || tasks == 0 {
			return err
		}
		starts := make([]ports.StartRequest, tasks)
		for k := range starts {
			starts[k] = ports.StartRequest{
				Attempt: model.AttemptID{Task: model.TaskID{Job: model.JobID(fmt.Sprintf("overnight-%08d", i)), Index: k}, Number: tasks},
				Team:    "team-001", Reservation: model.Resources{Cores: 500, Memory: 1024}, DeclaredRunTime: model.Duration(taskRunTime),
				Service: true, TaskTTL: model.Duration(taskTTL),
			}
		}
		return h.client.Start(context.Background(), address, h.reports[i].Token, starts)
	})
}

func (h *leaseHolder) renewLease(i int, address string) error {
	report, err := h.client.Lease(context.Background(), address, ports.LeaseRequest{
		Holder: "entry-dc01-1", Token: h.reports[i].Token, TTL: model.Duration(leaseTTL),
		TaskTTL: model.Duration(taskTTL), Basis: h.reports[i].Clock,
	})
	if err == nil {
		h.reports[i] = report
	}
	return err
}

// renewInRounds renews all leases once per renewInterval, renewRounds times.
func (h *leaseHolder) renewInRounds() error {
	for range renewRounds {
		began := time.Now()
		if err := h.forEachWorker(h.renewLease); err != nil {
			return err
		}
		time.Sleep(renewInterval - time.Since(began))
	}
	return nil
}

// renewalBytes returns the bytes sent and received in one round of renewals.
func (h *leaseHolder) renewalBytes(platform string) (float64, error) {
	relay, err := meter.NewRelay(platform)
	if err != nil {
		return 0, err
	}
	defer relay.Close()
	h.relay = relay.Address()
	defer func() { h.relay = "" }()
	defer h.client.Close()
	before := relay.Total()
	if err := h.forEachWorker(h.renewLease); err != nil {
		return 0, err
	}
	return float64(relay.Total() - before), nil
}

// releaseLeases stops the tasks and releases the leases, so that the next measurement finds idle workers.
func (h *leaseHolder) releaseLeases() error {
	return h.forEachWorker(func(i int, address string) error {
		attempts := make([]model.AttemptID, 0, len(h.reports[i].Tasks))
		for _, t := range h.reports[i].Tasks {
			attempts = append(attempts, t.Attempt)
		}
		token := h.reports[i].Token
		if len(attempts) > 0 {
			if err := h.client.Stop(context.Background(), address, token, model.OutcomeStopped, attempts); err != nil {
				return err
			}
			if err := h.renewLease(i, address); err != nil {
				return err
			}
			if err := h.client.Acknowledge(context.Background(), address, token, attempts); err != nil {
				return err
			}
		}
		return h.client.Release(context.Background(), address, token)
	})
}
