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
	// directoryEvery is the interval between readings of who owns what while the owner answers.
	directoryEvery = 1500 * time.Millisecond
	// directoryRetry is the shortest interval between readings, and between calls of an owner that doesn't answer.
	directoryRetry = 150 * time.Millisecond
	// reportsAfter is how many readings there are for one report while the owner doesn't answer.
	reportsAfter = 4
	// lookLimit bounds how long a question waits for an owner.
	lookLimit = 1200 * time.Millisecond
)

// Member names a node of a group, so that others can call it.
type Member struct {
	Node    string
	Address string
	BootID  string
}

// String is the member's name in the group.
func (m Member) String() string { return m.Node + "|" + m.Address + "|" + m.BootID }

func parseMember(text string) (Member, bool) {
	parts := strings.Split(text, "|")
	if len(parts) != 3 {
		return Member{}, false
	}
	return Member{parts[0], parts[1], parts[2]}, true
}

// DirectoryConfig describes a directory.
type DirectoryConfig struct {
	Store ledger.Store
	// Self is what this node reports to the owner.
	Self peers.NodeInfo
	// Group is the group whose members may own jobs.
	Group  string
	Client *peers.Client
	Log    *zap.Logger
}

// Directory knows which node owns the jobs, asks it for clients and reports this node to it.
type Directory struct {
	cfg  DirectoryConfig
	kick chan struct{}

	mu    sync.Mutex
	owner Member
	// suspect tells that the owner's last answer was none; then one call tries it at a time, at probeAt or later, and the
	// others wait until recovered is closed.
	suspect   bool
	probeAt   time.Time
	recovered chan struct{}
	standing  standing
	// emptySince is when the group was first seen without members, or zero.
	emptySince time.Time
}

var _ intake.Owner = (*Directory)(nil)

// NewDirectory returns a directory that knows no owner.
func NewDirectory(cfg DirectoryConfig) *Directory {
	return &Directory{cfg: cfg, kick: make(chan struct{}, 1), recovered: make(chan struct{})}
}

// Run keeps the directory current until the context ends.
func (d *Directory) Run(ctx context.Context) error {
	read, failures := time.Time{}, 0
	for ctx.Err() == nil {
		every, failed := directoryRetry, true
		// A report to an owner that is gone takes its whole time limit; the store tells of a new one sooner.
		if failures%reportsAfter == 0 {
			var err error
			every, err = d.report(ctx)
			failed = err != nil
		}
		if failed || time.Since(read) >= directoryEvery {
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
		pause.For(ctx, directoryRetry)
		pause.UntilWoken(ctx, every-directoryRetry, d.kick)
	}
	return nil
}

// refresh reads who owns the jobs, and decides on this node's candidacy if the owner doesn't tell.
func (d *Directory) refresh(ctx context.Context, told bool) {
	records, err := readOwner(ctx, d.cfg.Store)
	if err != nil {
		d.cfg.Log.Info("owner not read", zap.Error(err))
		return
	}
	d.mu.Lock()
	if records.serving != d.owner {
		d.cfg.Log.Info("owner changed", zap.String("from", d.owner.Node), zap.String("to", records.serving.Node))
		d.owner = records.serving
		d.wake()
	}
	d.mu.Unlock()
	if told || records.serving == memberOf(d.cfg.Self) {
		return
	}
	holders, err := d.cfg.Store.Holders(ctx, d.cfg.Group)
	if err != nil {
		d.cfg.Log.Info("members not read", zap.Error(err))
		return
	}
	d.judge(records, holders, time.Now())
}

func (d *Directory) current() Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.owner
}

// wake lets all calls go that wait for the owner; the lock is held.
func (d *Directory) wake() {
	d.suspect = false
	close(d.recovered)
	d.recovered = make(chan struct{})
}

// turn waits until the owner may be called; it returns false at the limit.
func (d *Directory) turn(ctx context.Context, limit time.Time) (Member, bool) {
	for {
		d.mu.Lock()
		now := time.Now()
		if !d.suspect || !now.Before(d.probeAt) {
			d.probeAt = now.Add(directoryRetry)
			owner := d.owner
			d.mu.Unlock()
			return owner, true
		}
		until, recovered := min(d.probeAt.Sub(now), limit.Sub(now)), d.recovered
		d.mu.Unlock()
		if until <= 0 {
			return Member{}, false
		}
		pause.UntilWoken(ctx, until, recovered)
		if ctx.Err() != nil || !time.Now().Before(limit) {
			return Member{}, false
		}
	}
}

// answered notes whether the owner that was called has answered.
func (d *Directory) answered(owner Member, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case owner != d.owner:
	case !ok:
		d.suspect = true
	case d.suspect:
		d.wake()
	}
}

// ask calls the owner, and again if the ownership moves meanwhile. While the owner doesn't answer, one call of this node
// tries it at a time, because a new owner needs its processor for taking over.
func (d *Directory) ask(ctx context.Context, call func(address string) error) error {
	limit := time.Now().Add(lookLimit)
	last := peers.ErrNotOwner
	for {
		owner, ok := d.turn(ctx, limit)
		if !ok {
			d.cfg.Log.Info("owner did not answer", zap.String("owner", d.current().Node), zap.Error(last))
			return intake.ErrNoOwner
		}
		err := peers.ErrNotOwner
		if owner.Address != "" {
			err = call(owner.Address)
		}
		known := err == nil || errors.Is(err, peers.ErrUnknownJob)
		d.answered(owner, known)
		switch {
		case err == nil:
			return nil
		case known:
			return intake.ErrUnknownJob
		}
		last = err
		d.again()
	}
}

func (d *Directory) again() {
	select {
	case d.kick <- struct{}{}:
	default:
	}
}

// State asks the owner for the state of a job.
func (d *Directory) State(ctx context.Context, id model.JobID) (work.State, error) {
	var state work.State
	err := d.ask(ctx, func(address string) error {
		var err error
		state, err = d.cfg.Client.State(ctx, address, id)
		return err
	})
	return state, err
}

// Pending asks the owner how many jobs of a queue have not begun.
func (d *Directory) Pending(ctx context.Context, queue string) (int, error) {
	n := 0
	err := d.ask(ctx, func(address string) error {
		var err error
		n, err = d.cfg.Client.Pending(ctx, address, queue)
		return err
	})
	return n, err
}

// Notify lets the owner know of a stored job, so that it needn't wait until it reads of it; without an answer it will.
func (d *Directory) Notify(ctx context.Context, job work.Job) error {
	d.mu.Lock()
	owner, suspect := d.owner, d.suspect
	d.mu.Unlock()
	if owner.Address == "" || suspect {
		return intake.ErrNoOwner
	}
	return d.cfg.Client.Submit(ctx, owner.Address, job)
}
