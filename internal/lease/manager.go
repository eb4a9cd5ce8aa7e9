package lease

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/ports"
	"arbutuswing.example/internal/state"
)

// Deps are the dependencies of a Manager.
type Deps struct {
	Workers ports.Worker
	List    ports.Lister
	Links   Links
	Submit  Submitter
	Handler Handler
	Clock   clockwork.Clock
	Log     *zap.Logger
}

// Manager manages the worker leases of one data centre.
type Manager struct {
	cfg    Config
	deps   Deps
	shards []*shard
	remote *remoteWorkers
	outbox *outbox

	mu       sync.Mutex
	listRead bool
}

// New returns a manager that holds no leases; it returns ErrConfig for invalid settings.
func New(cfg Config, deps Deps) (*Manager, error) {
	cfg = cfg.WithDefaults()
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	m := &Manager{cfg: cfg, deps: deps, remote: newRemoteWorkers(), outbox: &outbox{wake: make(chan struct{}, 1)}}
	for range cfg.Shards {
		m.shards = append(m.shards, newShard(m))
	}
	return m, nil
}

// Run acquires and renews leases until ctx ends, then releases them.
func (m *Manager) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for _, s := range m.shards {
		wg.Add(1)
		go s.runShard(ctx, &wg)
	}
	wg.Add(2)
	go m.runList(ctx, &wg)
	go m.runOutbox(ctx, &wg)
	wg.Wait()
	m.releaseAll()
	return nil
}

// runList reads the instance list and checks the workers of other data centres at each ListInterval.
func (m *Manager) runList(ctx context.Context, wg *sync.WaitGroup) {
	defer wg.Done()
	ticker := m.deps.Clock.NewTicker(m.cfg.ListInterval)
	defer ticker.Stop()
	for {
		m.ReadInstanceList(ctx)
		m.checkRemote(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

// ReadInstanceList updates the workers' addresses from the instance list.
func (m *Manager) ReadInstanceList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, ports.CommandTimeout)
	defer cancel()
	instances, err := m.deps.List.List(ctx)
	if err != nil {
		metrics.GetOrCreateCounter(`aw_lease_list_errors_total`).Inc()
		m.deps.Log.Warn("reading the list failed", zap.Error(err))
		return
	}
	m.mu.Lock()
	m.listRead = true
	m.mu.Unlock()
	for _, in := range instances {
		if in.Role == ports.RoleWorker && in.DataCentre == m.cfg.DataCentre {
			id := model.WorkerID(in.ID)
			m.shardOf(id).setAddress(id, in.Address, in.Presence == ports.PresenceLeaving)
		}
	}
}

func (m *Manager) hasReadList() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listRead
}

// WorkerChanged records the worker's state as the log has it.
func (m *Manager) WorkerChanged(w state.Worker) {
	if w.DataCentre == m.cfg.DataCentre {
		m.shardOf(w.ID).setRecorded(w)
		return
	}
	m.remote.setRecorded(w, m.deps.Clock.Now())
}

// SetDeclarations sets the declarations in force.
func (m *Manager) SetDeclarations(set decl.Set) { m.remote.setDeclarations(set) }

// ServeSoon requests that the worker's commands be sent soon, without waiting for its next renewal.
func (m *Manager) ServeSoon(id model.WorkerID) { m.shardOf(id).serveSoon(id) }

// Held reports whether the worker's lease is held now.
func (m *Manager) Held(id model.WorkerID) bool {
	s := m.shardOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	return l != nil && l.held(m.deps.Clock.Now())
}

// ServeDue does once and sequentially what Run does concurrently, for tests: it serves the workers that are due, checks
// those of other data centres, and submits the collected operations.
func (m *Manager) ServeDue(ctx context.Context) {
	for _, s := range m.shards {
		for _, l := range s.takeDue() {
			s.serve(ctx, l)
		}
	}
	m.checkRemote(ctx)
	m.flush(ctx)
}

func (m *Manager) shardOf(id model.WorkerID) *shard {
	return m.shards[xxhash.Sum64String(string(id))%uint64(len(m.shards))]
}

// releaseAll releases all leases, so that the next placer doesn't have to wait until they expire.
func (m *Manager) releaseAll() {
	ctx, cancel := context.WithTimeout(context.Background(), m.cfg.TTL)
	defer cancel()
	var wg sync.WaitGroup
	for _, s := range m.shards {
		wg.Add(1)
		go s.runRelease(ctx, &wg)
	}
	wg.Wait()
}

// Status is the state of a worker's lease in the state dump.
type Status struct {
	Worker    model.WorkerID `json:"worker"`
	Address   string         `json:"address"`
	Boot      model.BootID   `json:"boot"`
	Token     model.Token    `json:"token"`
	Expires   time.Time      `json:"expires"`
	Contact   time.Time      `json:"contact"`
	Suspicion model.Offset   `json:"suspicion"`
	Own       model.Offset   `json:"own-suspicion"`
	Leaving   bool           `json:"leaving,omitempty"`
	Lost      bool           `json:"lost,omitempty"`
}

// Dump returns the Status of each worker of the data centre.
func (m *Manager) Dump() any {
	var out []Status
	for _, s := range m.shards {
		s.mu.Lock()
		for _, l := range s.leases {
			out = append(out, Status{
				Worker: l.id, Address: l.address, Boot: l.boot, Token: l.token, Expires: l.expiresAt, Contact: l.lastContact,
				Suspicion: l.recorded.Suspicion, Own: l.suspicion.own, Leaving: l.leaving, Lost: l.recorded.Lost,
			})
		}
		s.mu.Unlock()
	}
	return out
}
