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

// cluster simulates a log, an instance list and several instances in one process, on the fake clock of synctest. The
// network between data centres can be cut.
type cluster struct {
	mu      sync.Mutex
	records [][]byte
	// cut has the pairs of data centres that cannot reach each other; the log is in a data centre named "log".
	cut       map[[2]model.DataCentreID]bool
	instances map[string]*instance
	list      []ports.Instance
}

// instance is one entry instance with a real stream and a real membership service.
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
	return &cluster{cut: make(map[[2]model.DataCentreID]bool), instances: make(map[string]*instance)}
}

// setCut cuts or restores the network between two data centres.
func (c *cluster) setCut(a, b model.DataCentreID, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[[2]model.DataCentreID{a, b}], c.cut[[2]model.DataCentreID{b, a}] = cut, cut
}

// dial returns the instance at an address unless the network to it is cut or it is not running.
func (c *cluster) dial(from *networkAccess, address string) (*instance, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	to := c.instances[address]
	if to == nil || c.cut[[2]model.DataCentreID{from.dc, to.dc}] {
		return nil, peer.ErrUnreachable
	}
	return to, nil
}

// networkAccess is how one instance reaches the others, the log and the list.
type networkAccess struct {
	cluster *cluster
	dc      model.DataCentreID
}

func (l *networkAccess) Heartbeat(ctx context.Context, address string, own peer.Status) (peer.HeartbeatAnswer, error) {
	to, err := l.cluster.dial(l, address)
	if err != nil {
		return peer.HeartbeatAnswer{}, err
	}
	return to.service.HandleHeartbeat(ctx, own)
}

func (l *networkAccess) Retain([]string) {}

func (l *networkAccess) ReadLog(
	ctx context.Context, address string, from model.Offset, limit int, wait time.Duration,
) (ports.Batch, error) {
	to, err := l.cluster.dial(l, address)
	if err != nil {
		return ports.Batch{}, err
	}
	return to.stream.ReadLog(ctx, from, limit, wait)
}

func (l *networkAccess) AppendLog(ctx context.Context, address string, data []byte) (model.Offset, error) {
	to, err := l.cluster.dial(l, address)
	if err != nil {
		return 0, err
	}
	return to.stream.AppendLog(ctx, data)
}

func (l *networkAccess) Snapshot(ctx context.Context, address string) (peer.Snapshot, error) {
	to, err := l.cluster.dial(l, address)
	if err != nil {
		return peer.Snapshot{}, err
	}
	return to.stream.Snapshot(ctx)
}

func (l *networkAccess) List(context.Context) ([]ports.Instance, error) {
	l.cluster.mu.Lock()
	defer l.cluster.mu.Unlock()
	return append([]ports.Instance(nil), l.cluster.list...), nil
}

func (l *networkAccess) down() bool { return l.cluster.cut[[2]model.DataCentreID{l.dc, "log"}] }

func (l *networkAccess) Append(_ context.Context, data []byte) (model.Offset, error) {
	l.cluster.mu.Lock()
	defer l.cluster.mu.Unlock()
	if l.down() {
		return model.NoOffset, ports.ErrUnavailable
	}
	l.cluster.records = append(l.cluster.records, data)
	return model.Offset(len(l.cluster.records) - 1), nil
}

func (l *networkAccess) Read(ctx context.Context, from model.Offset, limit int, wait time.Duration) (ports.Batch, error) {
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
	access := &networkAccess{cluster: c, dc: dc}
	self := Self{
		Sender:     peer.Sender{Instance: id, Incarnation: model.Incarnation(time.Now().UnixNano())},
		DataCentre: dc, PeerAddress: string(id),
	}
	table, err := NewTable(TableConfig{Self: self})
	assert.NilError(t, err)
	created := &instance{id: id, dc: dc}
	created.stream, err = stream.New(stream.Config{
		Instance: id, Incarnation: self.Incarnation, Log: access, Peers: table, Relay: access,
		StateMachine: newMachine(t),
	})
	assert.NilError(t, err)
	created.service, err = New(Config{Table: table, Stream: created.stream, HeartbeatClient: access, Lister: access})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	created.stop = cancel
	c.mu.Lock()
	c.instances[string(id)] = created
	c.list = append(c.list, ports.Instance{
		ID: string(id), Role: ports.RoleEntry, DataCentre: dc, Address: string(id), Presence: ports.PresenceLive,
	})
	c.mu.Unlock()
	created.done.Go(func() { _ = created.stream.Run(ctx) })
	created.done.Go(func() { created.err = created.service.Run(ctx) })
	return created
}

func (c *cluster) kill(victim *instance) {
	victim.stop()
	victim.done.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.instances, string(victim.id))
}

// runInCluster runs a test with two instances in each of three data centres.
func runInCluster(t *testing.T, test func(t *testing.T, c *cluster, all map[string]*instance)) {
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
			for _, inst := range all {
				c.kill(inst)
			}
		}()
		time.Sleep(10 * time.Second)
		for id, inst := range all {
			assert.Equal(t, len(inst.service.Live()), 6, id)
		}
		test(t, c, all)
	})
}

// assertStates compares the connectivity states of all instances; want is keyed by the first letter of the data centre.
func assertStates(t *testing.T, all map[string]*instance, want map[string]State) {
	t.Helper()
	for id, inst := range all {
		if state, ok := want[id[:1]]; ok && inst.service.Connectivity().State != state {
			t.Fatalf("%s is %s, want %s", id, inst.service.Connectivity().State, state)
		}
	}
}

// Guards against instances that disagree on the placer while all are alive, and against a dead instance that stays
// elected or stays a member.
func TestDeadMemberIsReplacedAndRemoved(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster, all map[string]*instance) {
		placer, ok := all["e1"].service.Placer("north")
		assert.Assert(t, ok)
		for id, inst := range all {
			got, _ := inst.service.Placer("north")
			assert.Equal(t, got, placer, id)
		}
		c.kill(all[string(placer)])
		delete(all, string(placer))
		time.Sleep(5 * time.Second)
		for id, inst := range all {
			got, _ := inst.service.Placer("north")
			assert.Assert(t, got != placer, id)
		}
		time.Sleep(10 * time.Second)
		for id, inst := range all {
			members, _ := inst.service.Members()
			assert.Equal(t, len(members), 5, id)
		}
	})
}

// Guards against work that stops during a log outage, and against changes that are accepted during one.
func TestOutageIsDistinguishedFromPartition(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster, all map[string]*instance) {
		for _, dc := range []model.DataCentreID{"north", "east", "south"} {
			c.setCut(dc, "log", true)
		}
		time.Sleep(time.Minute)
		assertStates(t, all, map[string]State{"n": Outage, "e": Outage, "s": Outage})
		assert.Assert(t, all["n1"].service.MayStart() && !all["n1"].service.MayAppend())

		// Only the south can reach the log again, and north and east cannot reach the south. To them this looks like an
		// outage, but changes can be made in the south.
		c.setCut("south", "log", false)
		c.setCut("north", "south", true)
		c.setCut("east", "south", true)
		time.Sleep(10 * time.Second)
		assertStates(t, all, map[string]State{"n": CutOff, "e": CutOff, "s": Connected})
		assert.Assert(t, !all["n1"].service.MayStart() && all["n1"].service.MayRenew())

		// East can reach the south again and relays through it. The north cannot read the log through the east, because an
		// instance that is relayed itself does not relay for others.
		c.setCut("east", "south", false)
		time.Sleep(10 * time.Second)
		assertStates(t, all, map[string]State{"n": CutOff, "e": Relayed, "s": Connected})

		c.setCut("north", "south", false)
		time.Sleep(10 * time.Second)
		assertStates(t, all, map[string]State{"n": Relayed, "e": Relayed, "s": Connected})
		assert.Assert(t, all["n1"].service.MayAppend())
		for id, inst := range all {
			assert.Equal(t, len(inst.service.Live()), 6, "%s considers live members dead", id)
		}
	})
}

// Guards against instances in other data centres that seem dead because this instance sends them no heartbeats itself.
func TestNeighboursReportEachOther(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster, all map[string]*instance) {
		for _, id := range []string{"s3", "s4", "s5"} {
			all[id] = c.start(t, model.InstanceID(id), "south")
		}
		for range 20 {
			time.Sleep(5 * time.Second)
			for id, inst := range all {
				assert.Equal(t, len(inst.service.Live()), 9, id)
			}
		}
	})
}

// Guards against members that are removed and join again every few seconds during a partition between instances that
// can all read the log.
func TestPartitionDoesNotChurnMembers(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster, all map[string]*instance) {
		c.setCut("north", "south", true)
		c.setCut("north", "east", true)
		before := len(c.records)
		time.Sleep(10 * time.Minute)
		assert.Assert(t, len(c.records)-before < 150, "%d records", len(c.records)-before)
		assertStates(t, all, map[string]State{"n": Connected, "e": Connected, "s": Connected})
		c.setCut("north", "south", false)
		c.setCut("north", "east", false)
		time.Sleep(10 * time.Second)
		for id, inst := range all {
			assert.Equal(t, len(inst.service.Live()), 6, id)
		}
	})
}

// Guards against an instance that starts during a log outage and does not get the newest state from its peers.
func TestStartDuringAnOutage(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster, all map[string]*instance) {
		for _, dc := range []model.DataCentreID{"north", "east", "south"} {
			c.setCut(dc, "log", true)
		}
		time.Sleep(10 * time.Second)
		all["n3"] = c.start(t, "n3", "north")
		time.Sleep(5 * time.Second)
		assert.Assert(t, all["n3"].stream.Ready())
		assertStates(t, all, map[string]State{"n": Outage, "e": Outage, "s": Outage})
	})
}

// Guards against a process that continues although a newer incarnation of its instance has joined.
func TestReplacedIncarnationExits(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster, all map[string]*instance) {
		old := all["n1"]
		all["n1"] = c.start(t, "n1", "north")
		time.Sleep(5 * time.Second)
		old.stop()
		old.done.Wait()
		assert.ErrorIs(t, old.err, ErrReplaced)
	})
}
