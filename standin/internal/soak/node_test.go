package soak

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"arbutuswing.example/internal/invar"
	"arbutuswing.example/internal/lease"
	"arbutuswing.example/internal/links"
	"arbutuswing.example/internal/member"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/once"
	"arbutuswing.example/internal/peer"
	"arbutuswing.example/internal/ports"
	"arbutuswing.example/internal/sched"
	"arbutuswing.example/internal/state"
	"arbutuswing.example/internal/stream"
)

// node is one incarnation of an entry instance without its HTTP servers.
type node struct {
	callControl
	name       string
	dataCentre model.DataCentreID
	machine    *state.Machine
	stream     *stream.Stream
	members    *member.Service
	once       *once.Service
	links      *links.Links
	deps       loopDeps
	cancel     context.CancelFunc
	running    sync.WaitGroup
}

// network carries the calls of one node to the others; it implements stream.Relay, member.HeartbeatClient and once.Peers.
type network struct {
	cluster *cluster
	self    *node
}

// call runs a call on the node with the address if both nodes are up and no partition separates them.
func (n network) call(ctx context.Context, address string, run func(to *node) error) error {
	time.Sleep(callLatency)
	if !n.self.waitUntilRunning(ctx) {
		return peer.ErrUnreachable
	}
	to := n.cluster.nodeByName(address)
	if to == nil || n.cluster.partitioned(n.self.dataCentre, to.dataCentre) || !to.waitUntilRunning(ctx) {
		return n.timeOut(ctx)
	}
	err := run(to)
	time.Sleep(callLatency)
	if n.cluster.partitioned(n.self.dataCentre, to.dataCentre) || !to.waitUntilRunning(ctx) || !n.self.waitUntilRunning(ctx) {
		return n.timeOut(ctx)
	}
	return err
}

// timeOut waits like a caller that gets no answer.
func (n network) timeOut(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-time.After(callTimeout / 2):
	}
	return peer.ErrUnreachable
}

func (n network) Heartbeat(ctx context.Context, address string, own peer.Status) (answer peer.HeartbeatAnswer, err error) {
	err = n.call(ctx, address, func(to *node) (err error) {
		answer, err = to.members.HandleHeartbeat(ctx, own)
		return err
	})
	return answer, err
}

func (network) Retain([]string) {}

func (n network) ReadLog(
	ctx context.Context, address string, from model.Offset, limit int, wait time.Duration,
) (batch ports.Batch, err error) {
	err = n.call(ctx, address, func(to *node) (err error) {
		batch, err = to.stream.ReadLog(ctx, from, limit, wait)
		return err
	})
	return batch, err
}

func (n network) AppendLog(ctx context.Context, address string, data []byte) (offset model.Offset, err error) {
	err = n.call(ctx, address, func(to *node) (err error) {
		offset, err = to.stream.AppendLog(ctx, data)
		return err
	})
	if err != nil {
		err = fmt.Errorf("%w: %w", ports.ErrUnknownEffect, err)
	}
	return offset, err
}

func (n network) Snapshot(ctx context.Context, address string) (snapshot peer.Snapshot, err error) {
	err = n.call(ctx, address, func(to *node) (err error) {
		snapshot, err = to.stream.Snapshot(ctx)
		return err
	})
	return snapshot, err
}

func (n network) Claim(ctx context.Context, to once.Member, req once.ClaimRequest) (status once.Status, err error) {
	err = n.call(ctx, to.PeerAddress, func(node *node) error {
		status = node.once.Decide(req)
		return nil
	})
	return status, err
}

func (n network) Settle(ctx context.Context, to once.Member, req once.SettleRequest) error {
	return n.call(ctx, to.PeerAddress, func(node *node) error {
		node.once.Finish(req)
		return nil
	})
}

func (n network) Handoff(
	ctx context.Context, from, self once.Member, offset model.Offset,
) (handoff once.Handoff, err error) {
	err = n.call(ctx, from.PeerAddress, func(node *node) (err error) {
		handoff, err = node.once.Handoff(self, offset)
		return err
	})
	return handoff, err
}

// start builds and runs a new incarnation of an instance.
func (c *cluster) start(name string, dataCentre model.DataCentreID) {
	n := &node{name: name, dataCentre: dataCentre}
	c.must(n.build(c))
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.run(ctx, c)
}

// loopDeps holds the components of a node that only its loops use.
type loopDeps struct {
	placer *sched.Placer
	leases *lease.Manager
	feed   *stream.Subscription
}

func (n *node) build(c *cluster) error {
	clock, log := clockwork.NewRealClock(), zap.NewNop()
	sender := peer.Sender{Instance: model.InstanceID(n.name), Incarnation: model.Incarnation(time.Now().UnixNano())}
	client := &platformClient{
		callControl: &n.callControl, dataCentre: n.dataCentre, faults: c.faults, log: c.log, list: c.list, fleet: c.fleet,
	}
	net := network{cluster: c, self: n}
	checker := invar.New(log, true)
	table, err := member.NewTable(member.TableConfig{Clock: clock, Self: member.Self{
		Sender: sender, DataCentre: n.dataCentre, PeerAddress: n.name, AdminAddress: n.name,
	}})
	if err != nil {
		return err
	}
	if n.machine, err = state.New(state.Config{Invariants: checker}); err != nil {
		return err
	}
	if n.stream, err = stream.New(stream.Config{
		Logger: log, Clock: clock, Instance: sender.Instance, Incarnation: sender.Incarnation, Log: client,
		StateMachine: n.machine, Peers: table, Relay: net, SnapshotRecords: snapshotRecords,
	}); err != nil {
		return err
	}
	if n.members, err = member.New(member.Config{
		Logger: log, Clock: clock, Table: table, Stream: n.stream, HeartbeatClient: net, Lister: client,
	}); err != nil {
		return err
	}
	if n.links, err = links.New(links.Config{
		Members: n.members, Stream: n.stream, Clock: clock, Self: sender.Instance, DataCentre: n.dataCentre,
	}); err != nil {
		return err
	}
	if n.once, err = once.New(once.Config{
		Self: once.Member{
			Instance: sender.Instance, Incarnation: sender.Incarnation, PeerAddress: n.name,
		},
		Peers: net, Clock: clock, MayDecide: n.links.MayDecide,
	}); err != nil {
		return err
	}
	return n.buildPlacer(client, checker, clock)
}

func (n *node) buildPlacer(client *platformClient, checker *invar.Checker, clock clockwork.Clock) error {
	placer, err := sched.New(
		sched.Config{DataCentre: n.dataCentre, RoundInterval: roundInterval},
		sched.Deps{
			Feed: n.stream.Subscribe(), Submit: n.stream, Links: n.links, View: n.machine, Invariants: checker, Clock: clock,
			Log: zap.NewNop(),
		})
	if err != nil {
		return err
	}
	leases, err := lease.New(
		lease.Config{Instance: model.InstanceID(n.name), Incarnation: 1, DataCentre: n.dataCentre, PollInterval: roundInterval},
		lease.Deps{
			Workers: client, List: client, Links: n.links, Submit: n.stream, Handler: placer, Clock: clock,
			Log: zap.NewNop(),
		})
	if err != nil {
		return err
	}
	placer.SetLeases(leases)
	n.deps = loopDeps{placer: placer, leases: leases, feed: n.stream.Subscribe()}
	return nil
}

// run starts the node's loops. They end by themselves when a later incarnation has replaced the node, as in the program.
func (n *node) run(ctx context.Context, c *cluster) {
	c.add(n)
	runs := []func(context.Context) error{
		n.stream.Run, n.members.Run, n.once.Run, n.deps.placer.Run, n.deps.leases.Run, n.runMemberships,
	}
	for _, run := range runs {
		n.running.Go(func() { _ = run(ctx) })
	}
}

// runMemberships passes the memberships that the state machine applies to the at-most-once service.
func (n *node) runMemberships(ctx context.Context) error {
	for {
		update, err := n.deps.feed.Next(ctx)
		if err != nil {
			return err
		}
		for _, event := range update.Events {
			changed, ok := event.(state.MembersChanged)
			if !ok || changed.Offset == model.NoOffset {
				continue
			}
			membership := once.Membership{Offset: changed.Offset}
			for _, m := range changed.Members {
				membership.Members = append(membership.Members, once.Member{
					Instance: m.Instance, Incarnation: m.Incarnation, PeerAddress: m.PeerAddress,
				})
			}
			n.once.ApplyMembership(membership, false)
		}
	}
}

// crash ends the node; none of its calls takes effect after that.
func (n *node) crash(c *cluster) {
	n.crashed.Store(true)
	c.remove(n)
	n.cancel()
	n.running.Wait()
}
