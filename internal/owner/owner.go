package owner

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/ledger"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/pause"
	"arbutuswing.example/internal/peers"
	"arbutuswing.example/internal/shard"
	"arbutuswing.example/internal/terms"
	"arbutuswing.example/internal/work"
)

// Topics and the partition of the one shard.
const (
	TopicInbox    ledger.Topic = "jobs"
	TopicProgress ledger.Topic = "progress"
	TopicOwner    ledger.Topic = "owner"
	Partition                  = 0
)

const (
	// joinEvery is the interval between renewals of the membership; three fit into its time to live.
	joinEvery = 300 * time.Millisecond
	// joinAgain is the same after the group has changed, so that partitions settle soon.
	joinAgain = 80 * time.Millisecond
	// memberTTL is how long a member that fell silent stays in the group: the least that the store takes.
	memberTTL = time.Second
	// ownerKey is the key of the record that names the owner.
	ownerKey = "owner"
)

// Runner runs until its context ends.
type Runner interface {
	Run(ctx context.Context) error
}

// Config describes the part of a node that may own jobs.
type Config struct {
	Self    Member
	Group   string
	Ledger  ledger.Ledger
	Workers agent.Workers
	Advisor agent.Advisor
	Peers   *peers.Client
	Nodes   func() []Member
	Terms   func() (terms.Terms, bool)
	// Registry returns a runner that calls changed with the workers' entries whenever they change.
	Registry func(changed func([]agent.Entry)) Runner
	// Shard holds the times of the shard; token and events are set for each ownership.
	Shard shard.Config
	Log   *zap.Logger
}

// Owner takes part in the group and owns the jobs while it holds their partition.
type Owner struct {
	cfg Config

	mu     sync.Mutex
	tenure *tenure
}

var _ peers.Owner = (*Owner)(nil)

// New returns an owner that has not joined.
func New(cfg Config) *Owner { return &Owner{cfg: cfg} }

func (o *Owner) current() *tenure {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.tenure
}

// State returns the state of a job that this node owns.
func (o *Owner) State(id model.JobID) (work.State, error) {
	t := o.current()
	if t == nil {
		return "", peers.ErrNotOwner
	}
	return t.state(id)
}

// Pending returns how many jobs of a queue have not begun.
func (o *Owner) Pending(queue string) (int, error) {
	t := o.current()
	if t == nil {
		return 0, peers.ErrNotOwner
	}
	return t.pending(queue)
}

// Submit takes in a job that another node has stored.
func (o *Owner) Submit(job work.Job) error {
	t := o.current()
	if t == nil {
		return peers.ErrNotOwner
	}
	return t.submit(job)
}

// Dump returns the state of the shard, or false if this node isn't the owner.
func (o *Owner) Dump() (shard.Dump, bool) {
	t := o.current()
	if t == nil {
		return shard.Dump{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.shard.Dump(t.now(), time.Now()), true
}

// TermsChanged puts a new configuration in force.
func (o *Owner) TermsChanged(t terms.Terms) {
	if current := o.current(); current != nil {
		current.setTerms(t)
	}
}

// Run takes part in the group until the context ends, and then hands over. An owner stays one as long as it is a member
// of the group; when it isn't any more, the member that holds the shard's partition takes over, under the group's
// generation as its epoch, which no other member has for that partition.
func (o *Owner) Run(ctx context.Context) error {
	m := ledger.Membership{Group: o.cfg.Group, Member: o.cfg.Self.String(), Topic: TopicProgress, TTL: memberTTL}
	o.leaveFormer(ctx)
	checked := int64(0)
	for ctx.Err() == nil {
		share, err := o.cfg.Ledger.Join(ctx, m)
		current, every := o.current(), joinEvery
		switch {
		case ctx.Err() != nil:
		case err != nil:
			o.cfg.Log.Info("membership not renewed", zap.Error(err))
		default:
			if share.Generation != m.Generation {
				every = joinAgain
			}
			m.Generation = share.Generation
			switch {
			case current != nil && current.ended():
				checked = share.Generation
				o.end(current, "a newer owner exists")
			case current != nil:
				current.touched()
			case slices.Contains(share.Partitions, Partition) && share.Generation > checked:
				if o.vacant(ctx) {
					o.begin(ctx, share.Generation)
				} else if ctx.Err() == nil {
					checked = share.Generation
				}
			}
		}
		pause.For(ctx, every)
	}
	if current := o.current(); current != nil {
		o.end(current, "stopping")
	}
	o.leave(m)
	return nil
}

// leaveFormer gives up the memberships of this node's former boots, which have ended, so that their partitions needn't
// wait for the time to live.
func (o *Owner) leaveFormer(ctx context.Context) {
	holders, err := o.cfg.Ledger.Holders(ctx, o.cfg.Group)
	if err != nil {
		o.cfg.Log.Info("former memberships not read", zap.Error(err))
		return
	}
	left := make(map[string]bool)
	for _, h := range holders {
		m, ok := parseMember(h.Member)
		if !ok || left[h.Member] || m.Node != o.cfg.Self.Node || m.Boot == o.cfg.Self.Boot {
			continue
		}
		left[h.Member] = true
		o.leave(ledger.Membership{Group: o.cfg.Group, Member: h.Member, Topic: TopicProgress})
	}
}

// vacant reports whether the recorded owner is no longer a member of the group.
func (o *Owner) vacant(ctx context.Context) bool {
	for ctx.Err() == nil {
		owner, err := readOwner(ctx, o.cfg.Ledger)
		if err == nil {
			var holders []ledger.Holder
			holders, err = o.cfg.Ledger.Holders(ctx, o.cfg.Group)
			if err == nil {
				return !slices.ContainsFunc(holders, func(h ledger.Holder) bool { return h.Member == owner.String() })
			}
		}
		o.cfg.Log.Info("owner not read", zap.Error(err))
		pause.For(ctx, joinEvery)
	}
	return false
}

// readOwner returns the member that last took over; the zero member if none has.
func readOwner(ctx context.Context, l ledger.Ledger) (Member, error) {
	page, err := l.Newest(ctx, TopicOwner, Partition)
	if err != nil {
		return Member{}, err
	}
	for _, r := range page.Records {
		if r.Key == ownerKey {
			m, _ := parseMember(string(r.Value))
			return m, nil
		}
	}
	return Member{}, nil
}

func (o *Owner) leave(m ledger.Membership) {
	ctx, cancel := context.WithTimeout(context.Background(), memberTTL)
	defer cancel()
	if err := o.cfg.Ledger.Leave(ctx, m); err != nil {
		o.cfg.Log.Info("membership not given up", zap.Error(err))
	}
}

func (o *Owner) begin(ctx context.Context, generation int64) {
	t := newTenure(o.cfg, generation)
	o.cfg.Log.Info("ownership won", zap.Int64("epoch", generation))
	o.mu.Lock()
	o.tenure = t
	o.mu.Unlock()
	go t.run(ctx)
}

func (o *Owner) end(t *tenure, why string) {
	o.mu.Lock()
	o.tenure = nil
	o.mu.Unlock()
	t.stop()
	o.cfg.Log.Info("ownership ended", zap.Int64("epoch", t.epoch), zap.String("reason", why))
}
