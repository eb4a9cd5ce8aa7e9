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
	// listed is the time of the last answer of the platform's list in nanoseconds since 1970.
	listed atomic.Int64
	// beating holds the peers whose heartbeat is under way.
	beating sync.Map
	// turn rotates through the peers of data centres that do not answer.
	turn atomic.Int64
	// changed has a token after a change of the recorded members.
	changed chan struct{}
}

// New returns a service; Run starts it.
func New(cfg Config) (*Service, error) {
	cfg = cfg.WithDefaults()
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	return &Service{Table: cfg.Table, cfg: cfg, changed: make(chan struct{}, 1)}, nil
}

// Run keeps the table up to date until ctx ends; it returns ErrReplaced if a newer incarnation of this instance has
// joined, because this process can no longer record anything.
func (s *Service) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var replaced error
	var loops sync.WaitGroup
	loops.Go(func() { s.runList(ctx) })
	loops.Go(func() { s.runBeats(ctx) })
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

// runList reads the platform's list, which finds peers before the log is read and tells which instances are gone.
func (s *Service) runList(ctx context.Context) {
	for {
		limited, cancel := s.withTimeout(ctx, s.cfg.ListInterval)
		instances, err := s.cfg.Lister.List(limited)
		cancel()
		if err == nil {
			s.setListed(instances)
			s.listed.Store(s.cfg.Clock.Now().UnixNano())
		} else {
			s.cfg.Logger.Debug("reading the platform's list failed", zap.Error(err))
		}
		if !s.sleep(ctx, s.cfg.ListInterval) {
			return
		}
	}
}

// runUpdates follows the members and data centres in the fold.
func (s *Service) runUpdates(ctx context.Context) {
	updates := s.cfg.Journal.Subscribe()
	defer updates.Close()
	for {
		update, err := updates.Next(ctx)
		if err != nil {
			return
		}
		s.take(update)
	}
}

// take handles an update of the fold.
func (s *Service) take(update stream.Update) {
	for _, event := range update.Events {
		s.handle(event)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.taken = max(s.taken, update.Offset)
	s.informed = true
}

func (s *Service) handle(event state.Event) {
	switch event := event.(type) {
	case state.MembersChanged:
		s.setMembers(event.Members, event.Offset)
		s.cfg.Caller.Retain(s.addresses())
		select {
		case s.changed <- struct{}{}:
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
		t.services[dc.Name] = service{in: dc.Service == decl.InService, lost: dc.Service == decl.Lost}
	}
}

func (t *Table) addresses() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]string, 0, len(t.peers))
	for _, known := range t.peers {
		out = append(out, known.address)
	}
	return out
}

// Leave makes this instance hand over its duties: peers and this instance no longer count it when they elect.
func (s *Service) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// HandleBeat answers a peer's heartbeat.
func (s *Service) HandleBeat(_ context.Context, from peer.Status) (peer.BeatAnswer, error) {
	s.noteBeat(from)
	return peer.BeatAnswer{Status: s.ownStatus(), Neighbours: s.neighbours()}, nil
}

// ownStatus returns what this instance tells about itself.
func (s *Service) ownStatus() peer.Status {
	status := s.cfg.Journal.Status()
	s.mu.Lock()
	defer s.mu.Unlock()
	view := s.observe(status)
	self, now := s.Table.cfg.Self, s.Table.cfg.Clock.Now()
	out := peer.Status{
		Sender: self.Sender, DataCentre: self.DataCentre, PeerAddress: self.PeerAddress,
		Applied: s.applied, LogAnswers: view.State == Connected, Ready: readyStatus(status), Leaving: s.leaving,
		CurrentAge: peer.NeverCurrent,
	}
	if !s.current.IsZero() {
		out.CurrentAge = max(now.Sub(s.current), 0)
	}
	if s.cfg.Load != nil {
		out.Load = s.cfg.Load()
	}
	return out
}

func readyStatus(status stream.Status) bool { return status.Ready && status.HaltReason == "" }

// neighbours returns the status of the other live instances of this data centre, so that peers elsewhere need not call
// all of them. The age of the news travels along, so that it cannot circulate as new.
func (t *Table) neighbours() []peer.Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Clock.Now()
	var out []peer.Status
	for _, known := range t.peers {
		if known.dataCentre != t.cfg.Self.DataCentre || now.Sub(known.told) >= t.cfg.DeadAfter {
			continue
		}
		status := known.status
		status.Age = max(now.Sub(known.told), 0)
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

// rowDump is a peer's part of the state dump.
type rowDump struct {
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

// dump is the service's part of the state dump.
type dump struct {
	Connectivity Connectivity `json:"connectivity"`
	Current      time.Time    `json:"current"`
	Membership   model.Offset `json:"membership"`
	Peers        []rowDump    `json:"peers"`
}

// Dump returns the peers and the connectivity state for the state dump.
func (s *Service) Dump() any {
	out := dump{Connectivity: s.Connectivity()}
	s.mu.Lock()
	defer s.mu.Unlock()
	out.Current, out.Membership = s.current, s.membership
	now := s.Table.cfg.Clock.Now()
	for id, known := range s.peers {
		_, recorded := s.recorded[id]
		out.Peers = append(out.Peers, rowDump{
			Instance: id, DataCentre: known.dataCentre, Address: known.address, Alive: s.alive(known, now),
			Recorded: recorded, Listed: known.listed, Answered: known.answered, Misses: known.misses,
			Status: known.status,
		})
	}
	return out
}
