package member

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/peer"
	"arbutuswing.example/internal/state"
	"arbutuswing.example/internal/stream"
)

// Service keeps a Table up to date and records joins and removals; all methods are safe for concurrent use.
type Service struct {
	*Table
	cfg Config
	// listReadAt is the time of the last successful read of the platform's instance list, in nanoseconds since
	// the Unix epoch.
	listReadAt atomic.Int64
	// inFlight has the instance IDs of peers whose heartbeat has not ended.
	inFlight sync.Map
	// round counts the rounds of heartbeats, to try silent peers in other data centres in turn.
	round atomic.Int64
	// membersChanged receives a token after a change of the recorded members.
	membersChanged chan struct{}
}

// New returns a service, which Run starts. It returns ErrConfig for invalid settings.
func New(cfg Config) (*Service, error) {
	cfg = cfg.WithDefaults()
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	return &Service{Table: cfg.Table, cfg: cfg, membersChanged: make(chan struct{}, 1)}, nil
}

// Run keeps the table up to date until ctx ends. It returns ErrReplaced if a newer incarnation of this instance has
// joined, because this process can no longer record anything.
func (s *Service) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var replaced error
	var loops sync.WaitGroup
	loops.Go(func() { s.runList(ctx) })
	loops.Go(func() { s.runHeartbeats(ctx) })
	loops.Go(func() { s.runUpdates(ctx) })
	loops.Go(func() { s.runReaper(ctx) })
	loops.Go(func() {
		if replaced = s.runJoin(ctx); replaced != nil {
			cancel()
		}
	})
	loops.Wait()
	return replaced
}

// runList reads the platform's instance list regularly. The list shows peers before the log has been read, and which
// instances are gone.
func (s *Service) runList(ctx context.Context) {
	for {
		limited, cancel := s.withTimeout(ctx, s.cfg.ListInterval)
		instances, err := s.cfg.Lister.List(limited)
		cancel()
		if err == nil {
			s.setListed(instances)
			s.listReadAt.Store(s.cfg.Clock.Now().UnixNano())
		} else {
			s.cfg.Logger.Debug("reading the platform's list failed", zap.Error(err))
		}
		if !s.sleep(ctx, s.cfg.ListInterval) {
			return
		}
	}
}

// runUpdates applies changes of the members and data centres in the state machine until ctx ends.
func (s *Service) runUpdates(ctx context.Context) {
	updates := s.cfg.Stream.Subscribe()
	defer updates.Close()
	for {
		update, err := updates.Next(ctx)
		if err != nil {
			return
		}
		s.applyUpdate(update)
	}
}

// applyUpdate applies an update from the state machine.
func (s *Service) applyUpdate(update stream.Update) {
	for _, event := range update.Events {
		s.handleEvent(event)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateOffset = max(s.updateOffset, update.Offset)
	s.initialised = true
}

func (s *Service) handleEvent(event state.Event) {
	switch event := event.(type) {
	case state.MembersChanged:
		s.setMembers(event.Members, event.Offset)
		s.cfg.HeartbeatClient.Retain(s.peerAddresses())
		select {
		case s.membersChanged <- struct{}{}:
		default:
		}
	case state.DeclarationsChanged:
		s.setDataCentres(event.Set.DataCentres)
	}
}

func (t *Table) setDataCentres(declared []decl.DataCentre) {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.services)
	for _, dc := range declared {
		t.services[dc.Name] = dataCentreService{inService: dc.Service == decl.InService, lost: dc.Service == decl.Lost}
	}
}

func (t *Table) peerAddresses() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]string, 0, len(t.peers))
	for _, entry := range t.peers {
		out = append(out, entry.address)
	}
	return out
}

// Leave excludes this instance from elections, here and at the peers, so that others take over its duties.
func (s *Service) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// HandleHeartbeat answers a peer's heartbeat.
func (s *Service) HandleHeartbeat(_ context.Context, from peer.Status) (peer.HeartbeatAnswer, error) {
	s.recordHeartbeat(from)
	return peer.HeartbeatAnswer{Status: s.ownStatus(), Neighbours: s.neighbours()}, nil
}

// ownStatus returns the status that this instance reports about itself.
func (s *Service) ownStatus() peer.Status {
	status := s.cfg.Stream.Status()
	s.mu.Lock()
	defer s.mu.Unlock()
	connectivity := s.evaluateConnectivity(status)
	self, now := s.Table.cfg.Self, s.Table.cfg.Clock.Now()
	out := peer.Status{
		Sender: self.Sender, DataCentre: self.DataCentre, PeerAddress: self.PeerAddress,
		Applied: s.applied, LogAnswers: connectivity.State == Connected, Ready: readyStatus(status), Leaving: s.leaving,
		CurrentAge: peer.NeverCurrent,
	}
	if !s.currentAt.IsZero() {
		out.CurrentAge = max(now.Sub(s.currentAt), 0)
	}
	if s.cfg.Load != nil {
		out.Load = s.cfg.Load()
	}
	return out
}

func readyStatus(status stream.Status) bool { return status.Ready && status.HaltReason == "" }

// neighbours returns the statuses of the other live instances in this data centre, so that peers elsewhere need not
// call all of them. Each status is sent with its age, so that old information does not seem new when it is passed on.
func (t *Table) neighbours() []peer.Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Clock.Now()
	var out []peer.Status
	for _, entry := range t.peers {
		if entry.dataCentre != t.cfg.Self.DataCentre || now.Sub(entry.statusAt) >= t.cfg.DeadAfter {
			continue
		}
		status := entry.status
		status.Age = max(now.Sub(entry.statusAt), 0)
		out = append(out, status)
	}
	return out
}

func (s *Service) sleep(ctx context.Context, d time.Duration) bool {
	timer := s.cfg.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.Chan():
		return true
	}
}

// peerDump is the part of the state dump about one peer.
type peerDump struct {
	Instance   model.InstanceID   `json:"instance"`
	DataCentre model.DataCentreID `json:"data-centre"`
	Address    string             `json:"address"`
	Alive      bool               `json:"alive"`
	Recorded   bool               `json:"recorded"`
	Listed     bool               `json:"listed"`
	Answered   time.Time          `json:"answered"`
	Misses     int                `json:"misses"`
	Status     peer.Status        `json:"status"`
}

// dump is the part of the state dump about membership.
type dump struct {
	Connectivity Connectivity `json:"connectivity"`
	Current      time.Time    `json:"current"`
	Membership   model.Offset `json:"membership"`
	Peers        []peerDump   `json:"peers"`
}

// Dump returns the peers and the connectivity state for the state dump.
func (s *Service) Dump() any {
	out := dump{Connectivity: s.Connectivity()}
	s.mu.Lock()
	defer s.mu.Unlock()
	out.Current, out.Membership = s.currentAt, s.membership
	now := s.Table.cfg.Clock.Now()
	for id, entry := range s.peers {
		_, recorded := s.recorded[id]
		out.Peers = append(out.Peers, peerDump{
			Instance: id, DataCentre: entry.dataCentre, Address: entry.address, Alive: s.alive(entry, now),
			Recorded: recorded, Listed: entry.listed, Answered: entry.answeredAt, Misses: entry.misses,
			Status: entry.status,
		})
	}
	return out
}
