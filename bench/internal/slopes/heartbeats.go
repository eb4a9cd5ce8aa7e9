package slopes

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"arbutuswing.example/bench/internal/fits"
	"arbutuswing.example/bench/internal/meter"
	"arbutuswing.example/bench/internal/rigs"
	"arbutuswing.example/internal/member"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/once"
	"arbutuswing.example/internal/peer"
	"arbutuswing.example/internal/ports"
	"arbutuswing.example/internal/stream"
)

const (
	// discoveryTime is how long the members get to find each other before they are measured for measureTime.
	discoveryTime = 4 * time.Second
	measureTime   = 5 * time.Second
)

// heartbeatCluster is a set of entry instances that exchange heartbeats over loopback and share a log in memory.
type heartbeatCluster struct {
	log     memLog
	list    []ports.Instance
	members []*member.Service
	bytes   meter.Bytes
	running sync.WaitGroup
}

// List implements ports.Lister.
func (c *heartbeatCluster) List(context.Context) ([]ports.Instance, error) { return c.list, nil }

// noRequests implements peer.RequestOwner for an instance that owns no request IDs.
type noRequests struct{}

// Decide implements peer.RequestOwner.
func (noRequests) Decide(once.ClaimRequest) once.Status { return "" }

// Finish implements peer.RequestOwner.
func (noRequests) Finish(once.SettleRequest) {}

// Handoff implements peer.RequestOwner.
func (noRequests) Handoff(once.Member, model.Offset) (once.Handoff, error) {
	return once.Handoff{}, once.ErrMembershipMismatch
}

// peerStream implements peer.Stream; no peer calls it here.
type peerStream struct{ *stream.Stream }

// heartbeats measures the cost of heartbeats by the number of peers that an instance exchanges them with.
func heartbeats(Config) ([]fits.Series, error) {
	var out []fits.Series
	for _, layout := range []struct {
		sizeName string
		// perCentre is the number of members in each data centre; zero means all of them in one.
		perCentre int
	}{{"peer, all in one data centre", 0}, {"peer, two in each data centre", 2}} {
		var bytes, cpu, perHeartbeat []fits.Point
		for _, n := range []int{3, 8, 16} {
			perCentre := layout.perCentre
			if perCentre == 0 {
				perCentre = n
			}
			b, c, err := heartbeatCost(n, perCentre)
			if err != nil {
				return nil, err
			}
			peers := float64(n - 1)
			bytes = append(bytes, fits.Point{X: peers, Y: b})
			cpu = append(cpu, fits.Point{X: peers, Y: c})
			// Every half second an instance sends a heartbeat to each peer and answers one from each.
			perHeartbeat = append(perHeartbeat, fits.Point{X: peers, Y: b / (4 * peers)})
		}
		out = append(out,
			fits.New("heartbeats of one instance, sent and received", layout.sizeName, "bytes/s", bytes),
			fits.New("one heartbeat with its answer", layout.sizeName, "bytes", perHeartbeat),
			fits.New("processor time of one instance for heartbeats and reading an idle log", layout.sizeName, "us/s", cpu))
	}
	return out, nil
}

// heartbeatCost returns the bytes and the microseconds of processor time per instance and second, with n instances.
func heartbeatCost(n, perCentre int) (float64, float64, error) {
	c := &heartbeatCluster{}
	ctx, cancel := context.WithCancel(context.Background())
	defer c.running.Wait()
	defer cancel()
	listeners := make([]net.Listener, n)
	for i := range listeners {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return 0, 0, fmt.Errorf("listening for peers: %w", err)
		}
		listeners[i] = c.bytes.Listen(l)
		c.list = append(c.list, ports.Instance{
			ID: fmt.Sprintf("entry-%02d", i), Role: ports.RoleEntry, Address: l.Addr().String(), Presence: ports.PresenceLive,
			DataCentre: model.DataCentreID(fmt.Sprintf("dc%02d", i/perCentre+1)),
		})
	}
	for i, l := range listeners {
		if err := c.start(ctx, c.list[i], l); err != nil {
			return 0, 0, err
		}
	}
	time.Sleep(discoveryTime)
	for _, m := range c.members {
		if len(m.Live()) != n {
			return 0, 0, fmt.Errorf("%w: an instance sees %d of %d members", errNotReady, len(m.Live()), n)
		}
	}
	return c.measure(n)
}

func (c *heartbeatCluster) measure(n int) (float64, float64, error) {
	bytes := c.bytes.Total()
	cpu, err := meter.CPU()
	if err != nil {
		return 0, 0, err
	}
	time.Sleep(measureTime)
	after, err := meter.CPU()
	if err != nil {
		return 0, 0, err
	}
	// Each byte is sent by one instance and received by another, so it counts twice.
	instanceSeconds := float64(n) * measureTime.Seconds()
	return 2 * float64(c.bytes.Total()-bytes) / instanceSeconds, microseconds(after-cpu) / instanceSeconds, nil
}

// start runs one instance with a real stream, membership service and peer server.
func (c *heartbeatCluster) start(ctx context.Context, instance ports.Instance, l net.Listener) error {
	machine, err := rigs.NewMachine()
	if err != nil {
		return err
	}
	id := model.InstanceID(instance.ID)
	self := member.Self{
		Sender:     peer.Sender{Instance: id, Incarnation: model.Incarnation(time.Now().UnixNano())},
		DataCentre: instance.DataCentre, PeerAddress: instance.Address, AdminAddress: instance.Address,
	}
	table, err := member.NewTable(member.TableConfig{Self: self})
	if err != nil {
		return fmt.Errorf("creating a member table: %w", err)
	}
	client, err := peer.NewClient(peer.ClientConfig{})
	if err != nil {
		return fmt.Errorf("creating a peer client: %w", err)
	}
	s, err := stream.New(stream.Config{
		Instance: id, Incarnation: self.Incarnation, Log: &c.log, StateMachine: machine, Peers: table, Relay: client,
	})
	if err != nil {
		return fmt.Errorf("creating a stream: %w", err)
	}
	service, err := member.New(member.Config{Table: table, Stream: s, HeartbeatClient: client, Lister: c})
	if err != nil {
		return fmt.Errorf("creating a member service: %w", err)
	}
	server, err := peer.NewServer(
		peer.ServerConfig{Listener: l, Heartbeats: service, Stream: peerStream{s}, Requests: noRequests{}})
	if err != nil {
		return fmt.Errorf("creating a peer server: %w", err)
	}
	c.members = append(c.members, service)
	for _, run := range []func(context.Context) error{s.Run, service.Run, server.Run} {
		c.running.Go(func() { _ = run(ctx) })
	}
	return nil
}
