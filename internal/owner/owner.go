package owner

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

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
	// restTime is how long a node stands by after its ownership has ended by itself: others take over meanwhile.
	restTime = 2 * memberTTL
	// ownerKey is the key of the record that names the member that has claimed the jobs last, servingKey that of the owner
	// that answers for them, and strengthKey that of its strength.
	ownerKey    = "owner"
	servingKey  = "serving"
	strengthKey = "strength"
	// standbySuffix names the group of the nodes that may not own jobs; renewing that membership shows whether the store
	// answers.
	standbySuffix = "-standby"
)

// Runner runs until its context ends.
type Runner interface {
	Run(ctx context.Context) error
}

// Config describes the part of a node that may own jobs.
type Config struct {
	Self    peers.NodeInfo
	Group   string
	Store   ledger.Store
	Workers agent.Workers
	Advisor agent.Advisor
	Peers   *peers.Client
	// Directory tells whether this node may own jobs.
	Directory *Directory
	Terms     func() (terms.Terms, bool)
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

// Report notes that a node is there.
func (o *Owner) Report(p peers.NodeInfo) (peers.ReportReply, error) {
	t := o.current()
	if t == nil || t.ended() {
		return peers.ReportReply{}, peers.ErrNotOwner
	}
	return t.roster.report(p, time.Now()), nil
}

// Run takes part in the group while this node is a candidate, until the context ends, and then hands over. An owner stays
// one as long as it is a member of the group; when it isn't any more, the member that holds the shard's partition takes
// over, under the group's generation as its epoch, which no other member has for that partition.
func (o *Owner) Run(ctx context.Context) error {
	o.leaveFormer(ctx)
	owners := o.membership(o.cfg.Group)
	standby := o.membership(o.cfg.Group + standbySuffix)
	checked := int64(0)
	wasCandidate := false
	restUntil := time.Time{}
	for ctx.Err() == nil {
		candidate := o.cfg.Directory.Candidate() && !time.Now().Before(restUntil)
		m := &standby
		if candidate {
			m = &owners
		}
		if candidate != wasCandidate {
			wasCandidate = candidate
			o.leaveOther(m, &owners, &standby)
		}
		if current := o.current(); current != nil && !candidate {
			o.end(current, "another owner chose stronger nodes")
		}
		share, err := o.cfg.Store.Join(ctx, *m)
		every := joinEvery
		switch {
		case ctx.Err() != nil:
		case err != nil:
			o.cfg.Log.Info("membership not renewed", zap.Error(err))
		default:
			if share.Generation != m.Generation {
				every = joinAgain
			}
			m.Generation = share.Generation
			if candidate {
				var failed bool
				if checked, failed = o.renewed(ctx, share, checked); failed {
					restUntil = time.Now().Add(restTime)
				}
			}
		}
		pause.For(ctx, every)
	}
	if current := o.current(); current != nil {
		o.end(current, "stopping")
	}
	o.leave(owners)
	o.leave(standby)
	return nil
}

func (o *Owner) membership(group string) ledger.Membership {
	return ledger.Membership{Group: group, Member: memberOf(o.cfg.Self).String(), Topic: TopicProgress, TTL: memberTTL}
}

// leaveOther gives up the membership that is no longer the one to renew.
func (o *Owner) leaveOther(kept *ledger.Membership, all ...*ledger.Membership) {
	for _, m := range all {
		if m != kept {
			o.leave(*m)
			m.Generation = 0
		}
	}
}

// renewed acts on a renewed membership: it begins or ends an ownership. It returns the generation up to which the
// recorded owner is known to be a member, and whether an ownership has ended by itself: the node must then leave the group
// for a while, because the others don't take over from a member.
func (o *Owner) renewed(ctx context.Context, share ledger.Assignment, checked int64) (int64, bool) {
	current := o.current()
	switch {
	case current != nil && current.ended():
		o.end(current, "a newer owner exists, or it failed")
		return share.Generation, true
	case current != nil && current.roster.outranked(time.Now()):
		o.end(current, "handing over to a stronger node")
		o.cfg.Directory.StandBy()
	case current != nil:
		current.touched()
	case slices.Contains(share.Partitions, Partition) && share.Generation > checked:
		members, vacant := o.vacant(ctx)
		if vacant {
			o.begin(ctx, share.Generation, members)
		} else if ctx.Err() == nil {
			return share.Generation, false
		}
	}
	return checked, false
}

// leaveFormer gives up the memberships of this node's former boots, which have ended, so that their partitions needn't
// wait for the time to live.
func (o *Owner) leaveFormer(ctx context.Context) {
	holders, err := o.cfg.Store.Holders(ctx, o.cfg.Group)
	if err != nil {
		o.cfg.Log.Info("former memberships not read", zap.Error(err))
		return
	}
	for _, m := range members(holders) {
		if m.Node == o.cfg.Self.Node && m.BootID != o.cfg.Self.BootID {
			o.leave(ledger.Membership{Group: o.cfg.Group, Member: m.String(), Topic: TopicProgress})
		}
	}
}

// members returns the members among the holders of partitions, each once.
func members(holders []ledger.Holder) []Member {
	seen := make(map[Member]bool)
	var list []Member
	for _, h := range holders {
		if m, ok := parseMember(h.Member); ok && !seen[m] {
			seen[m] = true
			list = append(list, m)
		}
	}
	return list
}

// vacant reports whether the recorded owner is no longer a member of the group, and returns the members.
func (o *Owner) vacant(ctx context.Context) ([]Member, bool) {
	for ctx.Err() == nil {
		var records ownerRecords
		var holders []ledger.Holder
		group, groupCtx := errgroup.WithContext(ctx)
		group.Go(func() (err error) {
			records, err = readOwner(groupCtx, o.cfg.Store)
			return err
		})
		group.Go(func() (err error) {
			holders, err = o.cfg.Store.Holders(groupCtx, o.cfg.Group)
			return err
		})
		err := group.Wait()
		if err == nil {
			return members(holders), !records.held(holders) || records.claimed == memberOf(o.cfg.Self)
		}
		o.cfg.Log.Info("owner not read", zap.Error(err))
		pause.For(ctx, joinEvery)
	}
	return nil, false
}

// ownerRecords is what the store holds about the ownership; members are zero before the first.
type ownerRecords struct {
	claimed Member
	serving Member
	// strength is that of the member that serves.
	strength float64
}

// held reports whether the member that has claimed the jobs still takes part.
func (r ownerRecords) held(holders []ledger.Holder) bool {
	return slices.Contains(members(holders), r.claimed)
}

func readOwner(ctx context.Context, l ledger.Store) (ownerRecords, error) {
	page, err := l.Newest(ctx, TopicOwner, Partition)
	if err != nil {
		return ownerRecords{}, err
	}
	var out ownerRecords
	for _, r := range page.Records {
		switch r.Key {
		case ownerKey:
			out.claimed, _ = parseMember(string(r.Value))
		case servingKey:
			out.serving, _ = parseMember(string(r.Value))
		case strengthKey:
			if out.strength, err = strconv.ParseFloat(string(r.Value), 64); err != nil {
				return ownerRecords{}, fmt.Errorf("strength of the owner: %w", err)
			}
		}
	}
	return out, nil
}

func (o *Owner) leave(m ledger.Membership) {
	ctx, cancel := context.WithTimeout(context.Background(), memberTTL)
	defer cancel()
	if err := o.cfg.Store.Leave(ctx, m); err != nil {
		o.cfg.Log.Info("membership not given up", zap.Error(err))
	}
}

func (o *Owner) begin(ctx context.Context, generation int64, members []Member) {
	t := newTenure(o.cfg, generation, members)
	tenures.Inc()
	load.owned.Set(1)
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
	load.owned.Set(0)
	o.cfg.Log.Info("ownership ended", zap.Int64("epoch", t.epoch), zap.String("reason", why))
}
