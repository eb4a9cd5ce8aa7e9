package member

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/invar"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/peer"
	"arbutuswing.example/internal/ports"
	"arbutuswing.example/internal/state"
	"arbutuswing.example/internal/stream"
)

// cluster is a log, a list and several instances with links that can be cut, on synctest's manual clock.
type cluster struct {
	mu      sync.Mutex
	records [][]byte
	// cut holds the data centres that are separated from each other; the log is in the data centre "log".
	cut   map[[2]model.DataCentreID]bool
	nodes map[string]*instance
	list  []ports.Instance
}

// instance is one entry instance with its real stream and membership.
type instance struct {
	id      model.InstanceID
	dc      model.DataCentreID
	stream  *stream.Stream
	service *Service
	stop    context.CancelFunc
	done    sync.WaitGroup
	err     error
}

func newCluster() *cluster {
	return &cluster{cut: make(map[[2]model.DataCentreID]bool), nodes: make(map[string]*instance)}
}

func (c *cluster) separate(a, b model.DataCentreID, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[[2]model.DataCentreID{a, b}], c.cut[[2]model.DataCentreID{b, a}] = cut, cut
}

func (c *cluster) reach(from *link, address string) (*instance, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	to := c.nodes[address]
	if to == nil || c.cut[[2]model.DataCentreID{from.dc, to.dc}] {
		return nil, peer.ErrUnreachable
	}
	return to, nil
}

// link is one instance's access to the others, to the log and to the list.
type link struct {
	cluster *cluster
	dc      model.DataCentreID
}

func (l *link) Beat(ctx context.Context, address string, own peer.Status) (peer.BeatAnswer, error) {
	to, err := l.cluster.reach(l, address)
	if err != nil {
		return peer.BeatAnswer{}, err
	}
	return to.service.HandleBeat(ctx, own)
}

func (l *link) Retain([]string) {}

func (l *link) ReadLog(
	ctx context.Context, address string, from model.Offset, limit int, wait time.Duration,
) (ports.Batch, error) {
	to, err := l.cluster.reach(l, address)
	if err != nil {
		return ports.Batch{}, err
	}
	return to.stream.ReadLog(ctx, from, limit, wait)
}

func (l *link) AppendLog(ctx context.Context, address string, data []byte) (model.Offset, error) {
	to, err := l.cluster.reach(l, address)
	if err != nil {
		return 0, err
	}
	return to.stream.AppendLog(ctx, data)
}

func (l *link) Snapshot(ctx context.Context, address string) (peer.Snapshot, error) {
	to, err := l.cluster.reach(l, address)
	if err != nil {
		return peer.Snapshot{}, err
	}
	return to.stream.Snapshot(ctx)
}

func (l *link) List(context.Context) ([]ports.Instance, error) {
	l.cluster.mu.Lock()
	defer l.cluster.mu.Unlock()
	return append([]ports.Instance(nil), l.cluster.list...), nil
}

func (l *link) down() bool { return l.cluster.cut[[2]model.DataCentreID{l.dc, "log"}] }

func (l *link) Append(_ context.Context, data []byte) (model.Offset, error) {
	l.cluster.mu.Lock()
	defer l.cluster.mu.Unlock()
	if l.down() {
		return model.NoOffset, ports.ErrUnavailable
	}
	l.cluster.records = append(l.cluster.records, data)
	return model.Offset(len(l.cluster.records) - 1), nil
}

func (l *link) Read(ctx context.Context, from model.Offset, limit int, wait time.Duration) (ports.Batch, error) {
	for end := time.Now().Add(wait); ; {
		l.cluster.mu.Lock()
		down := l.down()
		batch := ports.Batch{Next: model.Offset(len(l.cluster.records))}
		for at := from; at < batch.Next && len(batch.Records) < limit; at++ {
			batch.Records = append(batch.Records, ports.Record{Offset: at, Data: l.cluster.records[at]})
		}
		l.cluster.mu.Unlock()
		if down {
			return ports.Batch{}, ports.ErrUnavailable
		}
		if len(batch.Records) > 0 || !time.Now().Before(end) || ctx.Err() != nil {
			return batch, ctx.Err()
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func newMachine(t *testing.T) *state.Machine {
	t.Helper()
	machine, err := state.New(state.Config{
		ParsePatch: func([]byte) (decl.Patch, error) { return decl.Patch{}, nil },
		ApplyPatch: func(set decl.Set, _ decl.Patch) (decl.Set, error) { return set, nil },
		CheckSet:   func(decl.Set) error { return nil },
		Approvers:  func(_, _ decl.Set) []model.OrganisationID { return nil },
		Invariants: invar.New(zap.NewNop(), true),
	})
	assert.NilError(t, err)
	return machine
}

func (c *cluster) start(t *testing.T, id model.InstanceID, dc model.DataCentreID) *instance {
	t.Helper()
	access := &link{cluster: c, dc: dc}
	self := Self{
		Sender:     peer.Sender{Instance: id, Incarnation: model.Incarnation(time.Now().UnixNano())},
		DataCentre: dc, PeerAddress: string(id),
	}
	table, err := NewTable(TableConfig{Self: self})
	assert.NilError(t, err)
	made := &instance{id: id, dc: dc}
	made.stream, err = stream.New(stream.Config{
		Instance: id, Incarnation: self.Incarnation, Log: access, Peers: table, Relay: access,
		StateMachine: newMachine(t),
	})
	assert.NilError(t, err)
	made.service, err = New(Config{Table: table, Journal: made.stream, Caller: access, Lister: access})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	made.stop = cancel
	c.mu.Lock()
	c.nodes[string(id)] = made
	c.list = append(c.list, ports.Instance{
		ID: string(id), Role: ports.RoleEntry, DataCentre: dc, Address: string(id), Presence: ports.PresenceLive,
	})
	c.mu.Unlock()
	made.done.Go(func() { _ = made.stream.Run(ctx) })
	made.done.Go(func() { made.err = made.service.Run(ctx) })
	return made
}

func (c *cluster) kill(victim *instance) {
	victim.stop()
	victim.done.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.nodes, string(victim.id))
}

// inCluster runs a test on two instances in each of three data centres.
func inCluster(t *testing.T, test func(t *testing.T, c *cluster, all map[string]*instance)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		all := make(map[string]*instance)
		for _, dc := range []model.DataCentreID{"north", "east", "south"} {
			for i := range 2 {
				id := fmt.Sprintf("%c%d", dc[0], i+1)
				all[id] = c.start(t, model.InstanceID(id), dc)
			}
		}
		defer func() {
			for _, found := range all {
				c.kill(found)
			}
		}()
		time.Sleep(10 * time.Second)
		for id, found := range all {
			assert.Equal(t, len(found.service.Live()), 6, id)
		}
		test(t, c, all)
	})
}

func expect(t *testing.T, all map[string]*instance, want map[string]State) {
	t.Helper()
	for id, found := range all {
		if state, ok := want[id[:1]]; ok && found.service.Connectivity().State != state {
			t.Fatalf("%s is %s, want %s", id, found.service.Connectivity().State, state)
		}
	}
}

// Guards against instances that disagree on the placer while all are alive, and against a dead one that keeps a duty or
// stays a member.
func TestDeadMemberIsReplacedAndRemoved(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster, all map[string]*instance) {
		placer, ok := all["e1"].service.Placer("north")
		assert.Assert(t, ok)
		for id, found := range all {
			got, _ := found.service.Placer("north")
			assert.Equal(t, got, placer, id)
		}
		c.kill(all[string(placer)])
		delete(all, string(placer))
		time.Sleep(5 * time.Second)
		for id, found := range all {
			got, _ := found.service.Placer("north")
			assert.Assert(t, got != placer, id)
		}
		time.Sleep(10 * time.Second)
		for id, found := range all {
			members, _ := found.service.Members()
			assert.Equal(t, len(members), 5, id)
		}
	})
}

// Guards against a log outage that stops the work, and against changes that are accepted during one.
func TestOutageIsToldFromPartition(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster, all map[string]*instance) {
		for _, dc := range []model.DataCentreID{"north", "east", "south"} {
			c.separate(dc, "log", true)
		}
		time.Sleep(time.Minute)
		expect(t, all, map[string]State{"n": Outage, "e": Outage, "s": Outage})
		assert.Assert(t, all["n1"].service.MayStart() && !all["n1"].service.MayAppend())

		// The log comes back for the south alone, and north and east cannot reach the south: this looks like an outage
		// to them, but changes can be made in the south.
		c.separate("south", "log", false)
		c.separate("north", "south", true)
		c.separate("east", "south", true)
		time.Sleep(10 * time.Second)
		expect(t, all, map[string]State{"n": CutOff, "e": CutOff, "s": Connected})
		assert.Assert(t, !all["n1"].service.MayStart() && all["n1"].service.MayRenew())

		// East reaches the south again, and the north reads through the east's data centre no more than it can reach.
		c.separate("east", "south", false)
		time.Sleep(10 * time.Second)
		expect(t, all, map[string]State{"n": CutOff, "e": Relayed, "s": Connected})

		c.separate("north", "south", false)
		time.Sleep(10 * time.Second)
		expect(t, all, map[string]State{"n": Relayed, "e": Relayed, "s": Connected})
		assert.Assert(t, all["n1"].service.MayAppend())
		for id, found := range all {
			assert.Equal(t, len(found.service.Live()), 6, "%s has lost members that lived", id)
		}
	})
}

// Guards against members elsewhere that count as dead because this instance sends them no heartbeats itself.
func TestNeighboursTellOfEachOther(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster, all map[string]*instance) {
		for _, id := range []string{"s3", "s4", "s5"} {
			all[id] = c.start(t, model.InstanceID(id), "south")
		}
		for range 20 {
			time.Sleep(5 * time.Second)
			for id, found := range all {
				assert.Equal(t, len(found.service.Live()), 9, id)
			}
		}
	})
}

// Guards against members that are removed and join again every few seconds while a partition separates instances that
// all read the log.
func TestPartitionDoesNotChurnMembers(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster, all map[string]*instance) {
		c.separate("north", "south", true)
		c.separate("north", "east", true)
		before := len(c.records)
		time.Sleep(10 * time.Minute)
		assert.Assert(t, len(c.records)-before < 150, "%d records", len(c.records)-before)
		expect(t, all, map[string]State{"n": Connected, "e": Connected, "s": Connected})
		c.separate("north", "south", false)
		c.separate("north", "east", false)
		time.Sleep(10 * time.Second)
		for id, found := range all {
			assert.Equal(t, len(found.service.Live()), 6, id)
		}
	})
}

// Guards against an instance that starts during an outage without the newest state of its peers.
func TestStartDuringAnOutage(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster, all map[string]*instance) {
		for _, dc := range []model.DataCentreID{"north", "east", "south"} {
			c.separate(dc, "log", true)
		}
		time.Sleep(10 * time.Second)
		all["n3"] = c.start(t, "n3", "north")
		time.Sleep(5 * time.Second)
		assert.Assert(t, all["n3"].stream.Ready())
		expect(t, all, map[string]State{"n": Outage, "e": Outage, "s": Outage})
	})
}

// Guards against a replaced process that goes on.
func TestReplacedIncarnationEnds(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster, all map[string]*instance) {
		old := all["n1"]
		all["n1"] = c.start(t, "n1", "north")
		time.Sleep(5 * time.Second)
		old.stop()
		old.done.Wait()
		assert.ErrorIs(t, old.err, ErrReplaced)
	})
}
