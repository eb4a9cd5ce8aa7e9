package owner

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"arbutuswing.example/internal/intake"
	"arbutuswing.example/internal/ledger"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/pause"
	"arbutuswing.example/internal/peers"
	"arbutuswing.example/internal/work"
)

const (
	// refreshInterval is the interval between reads of the owner records while the owner answers.
	refreshInterval = 1500 * time.Millisecond
	// retryInterval is the minimum interval between reads of the owner records, and between calls to an owner that doesn't
	// answer.
	retryInterval = 150 * time.Millisecond
	// refreshesPerReport is the number of reads of the owner records for each report while the owner doesn't answer.
	refreshesPerReport = 4
	// ownerCallTimeout bounds how long a call tries to get an answer from an owner.
	ownerCallTimeout = 1200 * time.Millisecond
)

// Member identifies a process of a node in a group, with the IP:port at which other nodes call it.
type Member struct {
	Node    string
	Address string
	BootID  string
}

// String returns the member's name in the group.
func (m Member) String() string { return m.Node + "|" + m.Address + "|" + m.BootID }

func parseMember(text string) (Member, bool) {
	parts := strings.Split(text, "|")
	if len(parts) != 3 {
		return Member{}, false
	}
	return Member{parts[0], parts[1], parts[2]}, true
}

// DirectoryConfig configures a directory.
type DirectoryConfig struct {
	Store ledger.Store
	// Self is what this node reports to the owner.
	Self peers.NodeInfo
	// Group is the group of nodes that may own jobs.
	Group  string
	Client *peers.Client
	Log    *zap.Logger
}

// Directory knows which node owns the jobs, forwards clients' calls to it and reports this node to it. It also decides
// whether this node is a candidate for the ownership.
type Directory struct {
	cfg           DirectoryConfig
	refreshSignal chan struct{}

	mu    sync.Mutex
	owner Member
	// claimant is the member that last began a takeover.
	claimant Member
	// unresponsive is set while the owner doesn't answer. Then only one call at a time is made to it, at probeAt or later,
	// and the others wait until recovered is closed.
	unresponsive bool
	probeAt      time.Time
	recovered    chan struct{}
	role         role
	// emptySince is when the group was first found without members, or zero.
	emptySince time.Time
}

var _ intake.Owner = (*Directory)(nil)

// NewDirectory returns a directory that doesn't know the owner yet.
func NewDirectory(cfg DirectoryConfig) *Directory {
	return &Directory{cfg: cfg, refreshSignal: make(chan struct{}, 1), recovered: make(chan struct{})}
}

// Run keeps the directory up to date until the context ends.
func (d *Directory) Run(ctx context.Context) error {
	read, failures := time.Time{}, 0
	for ctx.Err() == nil {
		interval, failed := retryInterval, true
		// A report to an owner that is down takes its whole timeout, whereas the store names a new owner sooner.
		if failures%refreshesPerReport == 0 {
			var err error
			interval, err = d.report(ctx)
			failed = err != nil
		}
		if failed || time.Since(read) >= refreshInterval {
			read = time.Now()
			before := d.current()
			d.refresh(ctx, !failed)
			if failures++; d.current() != before {
				failures = 0
				continue
			}
		}
		if !failed {
			failures = 0
		}
		pause.For(ctx, retryInterval)
		pause.UntilWoken(ctx, interval-retryInterval, d.refreshSignal)
	}
	return nil
}

// refresh reads the owner records, and decides on this node's role unless the owner has answered this node's report.
func (d *Directory) refresh(ctx context.Context, reportAnswered bool) {
	records, err := readOwner(ctx, d.cfg.Store)
	if err != nil {
		d.cfg.Log.Info("reading owner records failed", zap.Error(err))
		return
	}
	d.mu.Lock()
	d.claimant = records.claimant
	if records.serving != d.owner {
		d.cfg.Log.Info("owner changed", zap.String("from", d.owner.Node), zap.String("to", records.serving.Node))
		d.owner = records.serving
		d.releaseWaiters()
	}
	d.mu.Unlock()
	if reportAnswered || records.serving == memberOf(d.cfg.Self) {
		return
	}
	holders, err := d.cfg.Store.Holders(ctx, d.cfg.Group)
	if err != nil {
		d.cfg.Log.Info("reading group members failed", zap.Error(err))
		return
	}
	d.decideRole(records, holders, time.Now())
}

// claimed reports whether this node last began a takeover, as far as the directory has read.
func (d *Directory) claimed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.claimant == memberOf(d.cfg.Self)
}

func (d *Directory) current() Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.owner
}

// releaseWaiters marks the owner as responsive and releases all waiting calls; the lock is held.
func (d *Directory) releaseWaiters() {
	d.unresponsive = false
	close(d.recovered)
	d.recovered = make(chan struct{})
}

// waitForTurn waits until the owner may be called and returns it, or false at the deadline.
func (d *Directory) waitForTurn(ctx context.Context, deadline time.Time) (Member, bool) {
	for {
		d.mu.Lock()
		now := time.Now()
		if !d.unresponsive || !now.Before(d.probeAt) {
			d.probeAt = now.Add(retryInterval)
			owner := d.owner
			d.mu.Unlock()
			return owner, true
		}
		until, recovered := min(d.probeAt.Sub(now), deadline.Sub(now)), d.recovered
		d.mu.Unlock()
		if until <= 0 {
			return Member{}, false
		}
		pause.UntilWoken(ctx, until, recovered)
		if ctx.Err() != nil || !time.Now().Before(deadline) {
			return Member{}, false
		}
	}
}

// noteAnswer records whether the called owner has answered.
func (d *Directory) noteAnswer(owner Member, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case owner != d.owner:
	case !ok:
		d.unresponsive = true
	case d.unresponsive:
		d.releaseWaiters()
	}
}

// callOwner calls the owner and repeats the call until an owner answers it or ownerCallTimeout has passed. While the owner
// doesn't answer, this node makes only one call to it at a time, because a new owner needs its processor time for the takeover.
func (d *Directory) callOwner(ctx context.Context, call func(address string) error) error {
	deadline := time.Now().Add(ownerCallTimeout)
	last := peers.ErrNotOwner
	for {
		owner, ok := d.waitForTurn(ctx, deadline)
		if !ok {
			d.cfg.Log.Info("owner did not answer", zap.String("owner", d.current().Node), zap.Error(last))
			return intake.ErrNoOwner
		}
		err := peers.ErrNotOwner
		if owner.Address != "" {
			err = call(owner.Address)
		}
		known := err == nil || errors.Is(err, peers.ErrUnknownJob)
		d.noteAnswer(owner, known)
		switch {
		case err == nil:
			return nil
		case known:
			return intake.ErrUnknownJob
		}
		last = err
		d.requestRefresh()
	}
}

func (d *Directory) requestRefresh() {
	select {
	case d.refreshSignal <- struct{}{}:
	default:
	}
}

// State asks the owner for the state of a job. It returns intake.ErrUnknownJob or intake.ErrNoOwner if there is no such job
// or owner.
func (d *Directory) State(ctx context.Context, id model.JobID) (work.State, error) {
	var state work.State
	err := d.callOwner(ctx, func(address string) error {
		var err error
		state, err = d.cfg.Client.State(ctx, address, id)
		return err
	})
	return state, err
}

// Pending asks the owner for the number of jobs of a queue that have not started. It returns intake.ErrNoOwner if no owner
// answers.
func (d *Directory) Pending(ctx context.Context, queue string) (int, error) {
	n := 0
	err := d.callOwner(ctx, func(address string) error {
		var err error
		n, err = d.cfg.Client.Pending(ctx, address, queue)
		return err
	})
	return n, err
}

// Notify tells the owner of a stored job before it reads the job from the store. If the call fails, the owner reads the job
// there.
func (d *Directory) Notify(ctx context.Context, job work.Job) error {
	d.mu.Lock()
	owner, unresponsive := d.owner, d.unresponsive
	d.mu.Unlock()
	if owner.Address == "" || unresponsive {
		return intake.ErrNoOwner
	}
	return d.cfg.Client.Submit(ctx, owner.Address, job)
}
