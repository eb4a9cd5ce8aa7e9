package owner

import (
	"context"
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

// The topics in the store that the owner of the jobs uses, and the partition that it uses of them.
const (
	TopicInbox    ledger.Topic = "jobs"
	TopicProgress ledger.Topic = "progress"
	TopicOwner    ledger.Topic = "owner"
	Partition                  = 0
)

const (
	// joinInterval is the interval between renewals of the membership; three renewals fit into memberTTL.
	joinInterval = 300 * time.Millisecond
	// joinIntervalAfterChange replaces joinInterval after the group has changed, so that its partitions are reassigned
	// quickly.
	joinIntervalAfterChange = 80 * time.Millisecond
	// memberTTL is how long a silent member stays in the group; it is the minimum that the store accepts.
	memberTTL = time.Second
	// standbyAfterFailure is how long a node stays on standby after its ownership was fenced or failed, so that another node
	// takes over.
	standbyAfterFailure = 2 * memberTTL
	// The record of claimantKey names the member that last began a takeover, and that of servingKey the owner that answers
	// calls. The record of strengthKey holds the strength of the serving owner.
	claimantKey = "owner"
	servingKey  = "serving"
	strengthKey = "strength"
	// maxStrength is the largest strength that an owner's record may name, in cores.
	maxStrength = 1 << 20
	// standbySuffix is appended to the name of the group to name the group of nodes that may not own jobs. Renewing a
	// membership there shows whether the store answers.
	standbySuffix = "-standby"
)

// Runner is a component that runs until its context ends.
type Runner interface {
	Run(ctx context.Context) error
}

// Config configures an Owner.
type Config struct {
	Self    peers.NodeInfo
	Group   string
	Store   ledger.Store
	Workers agent.Workers
	Advisor agent.Advisor
	Peers   *peers.Client
	// Directory decides whether this node is a candidate, which may own jobs.
	Directory     *Directory
	Configuration func() (terms.Configuration, bool)
	// Registry returns a runner that follows the workers' registry.
	Registry func(RegistryEvents) Runner
	// Shard configures the shard; each ownership sets Epoch and Events.
	Shard shard.Config
	// Uptime returns the time since any fixed moment, including the time for which the machine was suspended.
	Uptime func() time.Duration
	Log    *zap.Logger
	// Step, if set, is called without locks before each step that depends on the steps of other goroutines or processes. A
	// simulation decides there in which order and how late they are taken.
	Step func(Step)
}

// RegistryEvents holds what a runner that follows the workers' registry calls.
type RegistryEvents struct {
	// Changed is called with the workers' entries whenever they change.
	Changed func([]agent.Entry)
	// Read is called after each successful read, once its changes have been passed on, with the time at which it began.
	Read func(begun time.Time)
}

// Step identifies a step of an owner for Config.Step; fields that don't apply are zero.
type Step struct {
	// Name is what is about to be done, such as "decide".
	Name  string
	Epoch int64
	Topic ledger.Topic
	// Target is the worker that the step is about.
	Target agent.Target
	// Task is the task, or the first one of the stage.
	Task work.TaskRef
	Run  int
}

// step announces a step.
func (o *Owner) step(s Step) {
	if o.cfg.Step != nil {
		o.cfg.Step(s)
	}
}

// Owner takes part in the group of nodes that may own jobs, and takes over the jobs when their owner has left the group.
type Owner struct {
	cfg Config

	// lastEpoch is the epoch of the last ownership; only Run uses it.
	lastEpoch int64

	mu        sync.Mutex
	ownership *ownership
}

var _ peers.Owner = (*Owner)(nil)

// New returns an owner that joins the group when Run is called.
func New(cfg Config) *Owner { return &Owner{cfg: cfg} }

func (o *Owner) current() *ownership {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ownership
}

// State returns the state of a job. It returns peers.ErrNotOwner if this node doesn't own the jobs, and peers.ErrUnknownJob
// if the job doesn't exist.
func (o *Owner) State(id model.JobID) (work.State, error) {
	ow := o.current()
	if ow == nil {
		return "", peers.ErrNotOwner
	}
	return ow.state(id)
}

// Pending returns the number of jobs of a queue that have not started, or peers.ErrNotOwner.
func (o *Owner) Pending(queue string) (int, error) {
	ow := o.current()
	if ow == nil {
		return 0, peers.ErrNotOwner
	}
	return ow.pending(queue)
}

// Submit accepts a job that another node has stored; it returns peers.ErrNotOwner if this node doesn't own the jobs.
func (o *Owner) Submit(job work.Job) error {
	ow := o.current()
	if ow == nil {
		return peers.ErrNotOwner
	}
	return ow.submit(job)
}

// Dump returns the state of the shard, or false if this node isn't the owner.
func (o *Owner) Dump() (shard.Dump, bool) {
	ow := o.current()
	if ow == nil {
		return shard.Dump{}, false
	}
	ow.mu.Lock()
	defer ow.mu.Unlock()
	return ow.shard.Dump(ow.now(), time.Now()), true
}

// ConfigurationChanged applies a new configuration.
func (o *Owner) ConfigurationChanged(configuration terms.Configuration) {
	if current := o.current(); current != nil {
		current.setConfiguration(configuration)
	}
}

// Report records that a node is alive and returns the answer to its report, or peers.ErrNotOwner.
func (o *Owner) Report(info peers.NodeInfo) (peers.ReportReply, error) {
	ow := o.current()
	if ow == nil || ow.ended() {
		return peers.ReportReply{}, peers.ErrNotOwner
	}
	return ow.nodes.report(info, time.Now()), nil
}

// Run takes part in the group while this node is a candidate. An owner remains the owner as long as it is a member of the
// group. After that, the member to which the shard's partition is assigned takes over, with the group's generation as its
// epoch; no other member is assigned the partition in the same generation. When the context ends, Run ends the ownership
// and leaves the group.
func (o *Owner) Run(ctx context.Context) error {
	o.leaveEarlierBoots(ctx)
	owners := o.membership(o.cfg.Group)
	standby := o.membership(o.cfg.Group + standbySuffix)
	checkedGeneration := int64(0)
	wasCandidate := false
	standbyUntil := time.Time{}
	for ctx.Err() == nil {
		candidate := o.cfg.Directory.Candidate() && !time.Now().Before(standbyUntil)
		m := &standby
		if candidate {
			m = &owners
		}
		if candidate != wasCandidate {
			wasCandidate = candidate
			o.leaveExcept(m, &owners, &standby)
		}
		if current := o.current(); current != nil && !candidate {
			o.endOwnership(current, "another owner chose stronger nodes")
		}
		o.step(Step{Name: "renew membership"})
		begun := o.cfg.Uptime()
		assignment, err := o.cfg.Store.Join(ctx, *m)
		o.step(Step{Name: "handle renewal"})
		interval := joinInterval
		switch {
		case ctx.Err() != nil:
		case err != nil:
			o.cfg.Log.Info("membership not renewed", zap.Error(err))
		default:
			if assignment.Generation != m.Generation {
				interval = joinIntervalAfterChange
			}
			m.Generation = assignment.Generation
			if candidate {
				var failed bool
				if checkedGeneration, failed = o.handleRenewal(ctx, assignment, begun, checkedGeneration); failed {
					standbyUntil = time.Now().Add(standbyAfterFailure)
				}
			}
		}
		pause.For(ctx, interval)
	}
	if current := o.current(); current != nil {
		o.endOwnership(current, "stopping")
	}
	o.leave(owners)
	o.leave(standby)
	return nil
}

func (o *Owner) membership(group string) ledger.Membership {
	return ledger.Membership{Group: group, Member: memberOf(o.cfg.Self).String(), Topic: TopicProgress, TTL: memberTTL}
}

// leaveExcept leaves all groups except that of the membership to keep.
func (o *Owner) leaveExcept(kept *ledger.Membership, all ...*ledger.Membership) {
	for _, m := range all {
		if m != kept {
			o.leave(*m)
			m.Generation = 0
		}
	}
}

// handleRenewal starts or ends an ownership after the membership has been renewed by a call that began at the given uptime. It
// returns the generation up to which the recorded owner is known to be a member, and whether the node must leave the group for
// a while: because its ownership was fenced or failed, as the others don't take over from a member, also if they missed that it
// had left, or because it would own under the same epoch again.
func (o *Owner) handleRenewal(
	ctx context.Context, assignment ledger.Assignment, begun time.Duration, checkedGeneration int64,
) (int64, bool) {
	current := o.current()
	switch {
	case current != nil && current.ended():
		o.endOwnership(current, "a newer owner exists, or the ownership failed")
		return assignment.Generation, true
	case current != nil && current.nodes.shouldHandOver(time.Now()):
		o.endOwnership(current, "handing over to a stronger node")
		o.cfg.Directory.StandBy()
	case current != nil:
		current.noteRenewal(assignment.Generation, begun)
	case assignment.Generation <= o.lastEpoch:
		// Leaving the group after the last ownership was lost. A second ownership under its epoch would repeat its sequence
		// numbers.
		return checkedGeneration, true
	case !slices.Contains(assignment.Partitions, Partition) && o.cfg.Directory.claimed():
		// The member with the partition waits for this one, which has lost the ownership, unless it was found missing in time.
		return checkedGeneration, true
	case slices.Contains(assignment.Partitions, Partition) && assignment.Generation > checkedGeneration:
		members, gone := o.ownerIsGone(ctx)
		if gone {
			o.startOwnership(ctx, assignment.Generation, members)
		} else if ctx.Err() == nil {
			return assignment.Generation, false
		}
	}
	return checkedGeneration, false
}

// leaveEarlierBoots ends the memberships of earlier processes of this node, so that their partitions are reassigned before
// the memberships expire.
func (o *Owner) leaveEarlierBoots(ctx context.Context) {
	holders, err := o.cfg.Store.Holders(ctx, o.cfg.Group)
	if err != nil {
		o.cfg.Log.Info("reading memberships of earlier processes failed", zap.Error(err))
		return
	}
	for _, m := range members(holders) {
		if m.Node == o.cfg.Self.Node && m.BootID != o.cfg.Self.BootID {
			o.leave(ledger.Membership{Group: o.cfg.Group, Member: m.String(), Topic: TopicProgress})
		}
	}
}

// members returns each member that holds a partition once.
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

// ownerIsGone reports whether the recorded owner is no longer a member of the group, or is this node itself, and returns the
// members.
func (o *Owner) ownerIsGone(ctx context.Context) ([]Member, bool) {
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
			return members(holders), !records.claimantPresent(holders) || records.claimant == memberOf(o.cfg.Self)
		}
		o.cfg.Log.Info("reading owner records failed", zap.Error(err))
		pause.For(ctx, joinInterval)
	}
	return nil, false
}

// ownerRecords is what the store holds about the ownership; a member that has not been recorded is zero.
type ownerRecords struct {
	claimant Member
	serving  Member
	// strength is the strength of the serving member.
	strength float64
}

// claimantPresent reports whether the member that last began a takeover is still in the group.
func (r ownerRecords) claimantPresent(holders []ledger.Holder) bool {
	return slices.Contains(members(holders), r.claimant)
}

func readOwner(ctx context.Context, store ledger.Store) (ownerRecords, error) {
	page, err := store.Newest(ctx, TopicOwner, Partition)
	if err != nil {
		return ownerRecords{}, err
	}
	var out ownerRecords
	for _, r := range page.Records {
		switch r.Key {
		case claimantKey:
			out.claimant, _ = parseMember(string(r.Value))
		case servingKey:
			out.serving, _ = parseMember(string(r.Value))
		case strengthKey:
			// An owner of unknown strength doesn't keep others from becoming candidates.
			strength, err := strconv.ParseFloat(string(r.Value), 64)
			if err != nil || !(strength >= 0 && strength <= maxStrength) {
				unreadableRecords.Inc()
				strength = 0
			}
			out.strength = strength
		}
	}
	return out, nil
}

func (o *Owner) leave(m ledger.Membership) {
	ctx, cancel := context.WithTimeout(context.Background(), memberTTL)
	defer cancel()
	if err := o.cfg.Store.Leave(ctx, m); err != nil {
		o.cfg.Log.Info("leaving group failed", zap.Error(err))
	}
}

func (o *Owner) startOwnership(ctx context.Context, generation int64, members []Member) {
	ow := newOwnership(o.cfg, generation, members)
	o.lastEpoch = generation
	ownershipsTotal.Inc()
	load.owned.Set(1)
	o.cfg.Log.Info("ownership won", zap.Int64("epoch", generation))
	o.mu.Lock()
	o.ownership = ow
	o.mu.Unlock()
	go ow.run(ctx)
}

func (o *Owner) endOwnership(ow *ownership, reason string) {
	o.mu.Lock()
	o.ownership = nil
	o.mu.Unlock()
	ow.stop()
	load.owned.Set(0)
	o.cfg.Log.Info("ownership ended", zap.Int64("epoch", ow.epoch), zap.String("reason", reason))
}
