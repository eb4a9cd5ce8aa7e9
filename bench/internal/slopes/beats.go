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
	// settleTime lets the members find each other before they are measured for measureTime.
	settleTime  = 4 * time.Second
	measureTime = 5 * time.Second
)

// ring is a set of entry instances of one data centre that beat over loopback; they share a log in memory.
type ring struct {
	log     memLog
	list    []ports.Instance
	members []*member.Service
	bytes   meter.Bytes
	running sync.WaitGroup
}

// List implements ports.Lister.
func (r *ring) List(context.Context) ([]ports.Instance, error) { return r.list, nil }

// noRequests owns no request IDs.
type noRequests struct{}

// Decide implements peer.Requests.
func (noRequests) Decide(once.ClaimRequest) once.Status { return "" }

// Finish implements peer.Requests.
func (noRequests) Finish(once.SettleRequest) {}

// Handoff implements peer.Requests.
func (noRequests) Handoff(once.Member, model.Offset) (once.Handoff, error) {
	return once.Handoff{}, once.ErrMembershipMismatch
}

// journal serves the log to peers; nobody asks here.
type journal struct{ *stream.Stream }

// beats measures heartbeats by the number of peers that an instance beats with.
func beats(Config) ([]fits.Series, error) {
	var out []fits.Series
	for _, layout := range []struct {
		size string
		// perCentre is the number of members in each data centre; zero means all.
		perCentre int
	}{{"peer, all in one data centre", 0}, {"peer, two in each data centre", 2}} {
		var bytes, cpu, exchange []fits.Point
		for _, n := range []int{3, 8, 16} {
			perCentre := layout.perCentre
			if perCentre == 0 {
				perCentre = n
			}
			b, c, err := beatsOf(n, perCentre)
			if err != nil {
				return nil, err
			}
			peers := float64(n - 1)
			bytes = append(bytes, fits.Point{X: peers, Y: b})
			cpu = append(cpu, fits.Point{X: peers, Y: c})
			// An instance begins an exchange with each peer every half second and answers one of each.
			exchange = append(exchange, fits.Point{X: peers, Y: b / (4 * peers)})
		}
		out = append(out,
			fits.New("heartbeats of one instance, sent and received", layout.size, "bytes/s", bytes),
			fits.New("one heartbeat with its answer", layout.size, "bytes", exchange),
			fits.New("processor time of one instance for heartbeats and reading an idle log", layout.size, "us/s", cpu))
	}
	return out, nil
}

// beatsOf returns bytes and microseconds of processor time per instance and second, for n instances.
func beatsOf(n, perCentre int) (float64, float64, error) {
	r := &ring{}
	ctx, cancel := context.WithCancel(context.Background())
	defer r.running.Wait()
	defer cancel()
	listeners := make([]net.Listener, n)
	for i := range listeners {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return 0, 0, fmt.Errorf("listening for peers: %w", err)
		}
		listeners[i] = r.bytes.Listen(l)
		r.list = append(r.list, ports.Instance{
			ID: fmt.Sprintf("entry-%02d", i), Role: ports.RoleEntry, Address: l.Addr().String(), Presence: ports.PresenceLive,
			DataCentre: model.DataCentreID(fmt.Sprintf("dc%02d", i/perCentre+1)),
		})
	}
	for i, l := range listeners {
		if err := r.start(ctx, r.list[i], l); err != nil {
			return 0, 0, err
		}
	}
	time.Sleep(settleTime)
	for _, m := range r.members {
		if len(m.Live()) != n {
			return 0, 0, fmt.Errorf("%w: an instance sees %d of %d members", errNotReady, len(m.Live()), n)
		}
	}
	return r.measure(n)
}

func (r *ring) measure(n int) (float64, float64, error) {
	bytes := r.bytes.Total()
	cpu, err := meter.CPU()
	if err != nil {
		return 0, 0, err
	}
	time.Sleep(measureTime)
	after, err := meter.CPU()
	if err != nil {
		return 0, 0, err
	}
	// Each byte is sent by one instance and received by another.
	per := float64(n) * measureTime.Seconds()
	return 2 * float64(r.bytes.Total()-bytes) / per, micros(after-cpu) / per, nil
}

// start runs one instance with its real stream, membership and peer server.
func (r *ring) start(ctx context.Context, row ports.Instance, l net.Listener) error {
	machine, err := rigs.Machine()
	if err != nil {
		return err
	}
	id := model.InstanceID(row.ID)
	self := member.Self{
		Sender:     peer.Sender{Instance: id, Incarnation: model.Incarnation(time.Now().UnixNano())},
		DataCentre: row.DataCentre, PeerAddress: row.Address, AdminAddress: row.Address,
	}
	table, err := member.NewTable(member.TableConfig{Self: self})
	if err != nil {
		return fmt.Errorf("making a table: %w", err)
	}
	client, err := peer.NewClient(peer.ClientConfig{})
	if err != nil {
		return fmt.Errorf("making a peer client: %w", err)
	}
	s, err := stream.New(stream.Config{
		Instance: id, Incarnation: self.Incarnation, Log: &r.log, StateMachine: machine, Peers: table, Relay: client,
	})
	if err != nil {
		return fmt.Errorf("making a stream: %w", err)
	}
	service, err := member.New(member.Config{Table: table, Stream: s, HeartbeatClient: client, Lister: r})
	if err != nil {
		return fmt.Errorf("making a member: %w", err)
	}
	server, err := peer.NewServer(peer.ServerConfig{Listener: l, Heartbeats: service, Stream: journal{s}, Requests: noRequests{}})
	if err != nil {
		return fmt.Errorf("making a peer server: %w", err)
	}
	r.members = append(r.members, service)
	for _, run := range []func(context.Context) error{s.Run, service.Run, server.Run} {
		r.running.Go(func() { _ = run(ctx) })
	}
	return nil
}
