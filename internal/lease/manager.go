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

// Deps are the parts that the manager works with.
type Deps struct {
	Workers ports.Worker
	List    ports.Lister
	Links   Links
	Submit  Submitter
	Handler Handler
	Clock   clockwork.Clock
	Log     *zap.Logger
}

// Manager holds the worker leases of one data centre.
type Manager struct {
	cfg    Config
	deps   Deps
	shards []*shard
	away   *foreign
	out    *outbox

	mu     sync.Mutex
	listed bool
}

// New returns a manager without leases; it returns ErrBadConfig for settings out of range.
func New(cfg Config, deps Deps) (*Manager, error) {
	cfg = cfg.WithDefaults()
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	m := &Manager{cfg: cfg, deps: deps, away: newForeign(), out: &outbox{wake: make(chan struct{}, 1)}}
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

// runList reads the list and looks after workers of other data centres.
func (m *Manager) runList(ctx context.Context, wg *sync.WaitGroup) {
	defer wg.Done()
	ticker := m.deps.Clock.NewTicker(m.cfg.ListInterval)
	defer ticker.Stop()
	for {
		m.ReadInstanceList(ctx)
		m.checkForeign(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

// ReadInstanceList brings the workers' addresses up to date.
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
	m.listed = true
	m.mu.Unlock()
	for _, in := range instances {
		if in.Role == ports.RoleWorker && in.DataCentre == m.cfg.DataCentre {
			id := model.WorkerID(in.ID)
			m.shardOf(id).listed(id, in.Address, in.Presence == ports.PresenceLeaving)
		}
	}
}

func (m *Manager) hasList() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listed
}

// WorkerChanged takes over a worker's state in the fold.
func (m *Manager) WorkerChanged(w state.Worker) {
	if w.DataCentre == m.cfg.DataCentre {
		m.shardOf(w.ID).learn(w)
		return
	}
	m.away.learn(w, m.deps.Clock.Now())
}

// Declared takes over the declarations in force.
func (m *Manager) Declared(set decl.Set) { m.away.declare(set) }

// Kick has the worker's commands sent soon.
func (m *Manager) Kick(id model.WorkerID) { m.shardOf(id).kick(id) }

// Held reports whether the worker's lease is held now.
func (m *Manager) Held(id model.WorkerID) bool {
	s := m.shardOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.holders[id]
	return h != nil && h.held(m.deps.Clock.Now())
}

// ServeDue serves every worker whose time has come, one after another; the shards do the same with several at once.
func (m *Manager) ServeDue(ctx context.Context) {
	for _, s := range m.shards {
		for _, h := range s.takeDue() {
			s.serve(ctx, h)
		}
	}
	m.checkForeign(ctx)
	m.flush(ctx)
}

func (m *Manager) shardOf(id model.WorkerID) *shard {
	return m.shards[xxhash.Sum64String(string(id))%uint64(len(m.shards))]
}

// releaseAll gives all leases back, so that the next placer need not wait for them to lapse.
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

// Status is a worker's line in the dump.
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

// Dump returns the state of all leases.
func (m *Manager) Dump() any {
	var out []Status
	for _, s := range m.shards {
		s.mu.Lock()
		for _, h := range s.holders {
			out = append(out, Status{
				Worker: h.id, Address: h.address, Boot: h.boot, Token: h.token, Expires: h.expires, Contact: h.contact,
				Suspicion: h.known.Suspicion, Own: h.suspect.own, Leaving: h.leaving, Lost: h.known.Lost,
			})
		}
		s.mu.Unlock()
	}
	return out
}
