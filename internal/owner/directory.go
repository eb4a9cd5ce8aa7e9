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
	// directoryEvery is the interval between readings of who owns what.
	directoryEvery = 1500 * time.Millisecond
	// nodesEvery is the same at the owner, which spreads calls for advice over nodes that come and go.
	nodesEvery = 300 * time.Millisecond
	// directoryRetry is the shortest interval between readings after a call that missed the owner.
	directoryRetry = 150 * time.Millisecond
	// lookLimit bounds how long a question waits for an owner.
	lookLimit = 1200 * time.Millisecond
	lookPause = 50 * time.Millisecond
)

// Member names a node of a group, so that others can call it.
type Member struct {
	Node    string
	Address string
	Boot    string
}

// String is the member's name in the group.
func (m Member) String() string { return m.Node + "|" + m.Address + "|" + m.Boot }

func parseMember(text string) (Member, bool) {
	parts := strings.Split(text, "|")
	if len(parts) != 3 {
		return Member{}, false
	}
	return Member{parts[0], parts[1], parts[2]}, true
}

// Directory knows which node owns the jobs and which nodes there are; it asks the owner for clients.
type Directory struct {
	ledger ledger.Ledger
	self   Member
	group  string
	client *peers.Client
	log    *zap.Logger
	kick   chan struct{}

	mu    sync.Mutex
	owner Member
	nodes []Member
}

var _ intake.Owner = (*Directory)(nil)

// NewDirectory returns an empty directory of a group.
func NewDirectory(l ledger.Ledger, self Member, group string, client *peers.Client, log *zap.Logger) *Directory {
	return &Directory{ledger: l, self: self, group: group, client: client, log: log, kick: make(chan struct{}, 1)}
}

// Run keeps the directory current until the context ends.
func (d *Directory) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		d.refresh(ctx)
		pause.For(ctx, directoryRetry)
		every := directoryEvery
		if d.current() == d.self {
			every = nodesEvery
		}
		timer := time.NewTimer(every)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-d.kick:
		}
		timer.Stop()
	}
	return nil
}

func (d *Directory) refresh(ctx context.Context) {
	owner, err := readOwner(ctx, d.ledger)
	if err != nil {
		d.log.Info("owner not read", zap.Error(err))
		return
	}
	d.mu.Lock()
	if owner != d.owner {
		d.log.Info("owner changed", zap.String("from", d.owner.Node), zap.String("to", owner.Node))
	}
	d.owner = owner
	d.mu.Unlock()
	if owner == d.self {
		d.refreshNodes(ctx)
	}
}

// refreshNodes reads which nodes there are; only an owner needs to know.
func (d *Directory) refreshNodes(ctx context.Context) {
	holders, err := d.ledger.Holders(ctx, d.group)
	if err != nil {
		d.log.Info("members not read", zap.Error(err))
		return
	}
	seen := make(map[Member]bool)
	var nodes []Member
	for _, h := range holders {
		if m, ok := parseMember(h.Member); ok && !seen[m] {
			seen[m] = true
			nodes = append(nodes, m)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.nodes = nodes
}

// Nodes returns the nodes that take part.
func (d *Directory) Nodes() []Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]Member(nil), d.nodes...)
}

func (d *Directory) current() Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.owner
}

func (d *Directory) again() {
	select {
	case d.kick <- struct{}{}:
	default:
	}
}

// ask calls the owner, and again if the ownership moves meanwhile.
func (d *Directory) ask(ctx context.Context, call func(address string) error) error {
	limit := time.Now().Add(lookLimit)
	for {
		owner := d.current()
		err := peers.ErrNotOwner
		if owner.Address != "" {
			err = call(owner.Address)
		}
		switch {
		case err == nil:
			return nil
		case errors.Is(err, peers.ErrUnknownJob):
			return intake.ErrUnknownJob
		case time.Now().After(limit) || ctx.Err() != nil:
			d.log.Info("owner did not answer", zap.String("owner", owner.Node), zap.Error(err))
			return intake.ErrNoOwner
		}
		d.again()
		pause.For(ctx, lookPause)
	}
}

// State asks the owner for the state of a job.
func (d *Directory) State(ctx context.Context, id model.JobID) (work.State, error) {
	var state work.State
	err := d.ask(ctx, func(address string) error {
		var err error
		state, err = d.client.State(ctx, address, id)
		return err
	})
	return state, err
}

// Pending asks the owner how many jobs of a queue have not begun.
func (d *Directory) Pending(ctx context.Context, queue string) (int, error) {
	n := 0
	err := d.ask(ctx, func(address string) error {
		var err error
		n, err = d.client.Pending(ctx, address, queue)
		return err
	})
	return n, err
}

// Tell lets the owner know of a stored job, so that it needn't wait until it reads of it; without an answer it will.
func (d *Directory) Tell(ctx context.Context, job work.Job) error {
	owner := d.current()
	if owner.Address == "" {
		return intake.ErrNoOwner
	}
	return d.client.Submit(ctx, owner.Address, job)
}
