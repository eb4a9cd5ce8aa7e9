package roster

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"arbutuswing.example/internal/ports"
)

var (
	// ErrUnknownInstance reports an instance that isn't on the list.
	ErrUnknownInstance = errors.New("unknown instance")
	// ErrInvalidInstance reports an instance with a missing or unknown field.
	ErrInvalidInstance = errors.New("bad row")
)

// Config configures an instance list.
type Config struct {
	Clock clockwork.Clock
	// Instances are on the list from the start.
	Instances []ports.Instance
	// Lag returns the current delay until a change is visible.
	Lag func() time.Duration
}

type change struct {
	changedAt time.Time
	id        string
	instance  *ports.Instance
}

// InstanceList holds the registered instances and the delayed view of them that callers see. It is safe for concurrent use.
type InstanceList struct {
	cfg Config

	mu      sync.Mutex
	actual  map[string]ports.Instance
	visible map[string]ports.Instance
	pending []change
}

// New returns a list on which the configured instances are visible.
func New(cfg Config) *InstanceList {
	r := &InstanceList{cfg: cfg, actual: make(map[string]ports.Instance), visible: make(map[string]ports.Instance)}
	for _, instance := range cfg.Instances {
		r.actual[instance.ID] = instance
		r.visible[instance.ID] = instance
	}
	return r
}

// Put adds or replaces an instance; it returns ErrInvalidInstance.
func (r *InstanceList) Put(instance ports.Instance) error {
	if err := Check(instance); err != nil {
		return err
	}
	if instance.Presence == "" {
		instance.Presence = ports.PresenceLive
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordChange(instance.ID, &instance)
	return nil
}

// Check returns ErrInvalidInstance for an instance with a missing or unknown field.
func Check(instance ports.Instance) error {
	switch instance.Role {
	case ports.RoleEntry, ports.RoleWorker, ports.RoleEndpoint:
	default:
		return fmt.Errorf("%w: %q: unknown role %q", ErrInvalidInstance, instance.ID, instance.Role)
	}
	if instance.ID == "" || instance.Address == "" {
		return fmt.Errorf("%w: %q: needs an ID and an address", ErrInvalidInstance, instance.ID)
	}
	return checkPresence(instance.Presence)
}

func checkPresence(presence ports.Presence) error {
	switch presence {
	case "", ports.PresenceLive, ports.PresenceLeaving:
		return nil
	default:
		return fmt.Errorf("%w: unknown presence %q", ErrInvalidInstance, presence)
	}
}

// Mark sets an instance's presence; it returns ErrUnknownInstance or ErrInvalidInstance.
func (r *InstanceList) Mark(id string, presence ports.Presence) error {
	if err := checkPresence(presence); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	instance, ok := r.actual[id]
	if !ok {
		return fmt.Errorf("%w: %q", ErrUnknownInstance, id)
	}
	instance.Presence = presence
	r.recordChange(id, &instance)
	return nil
}

// Remove takes an instance off the list; it returns ErrUnknownInstance.
func (r *InstanceList) Remove(id string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.actual[id]; !ok {
		return fmt.Errorf("%w: %q", ErrUnknownInstance, id)
	}
	r.recordChange(id, nil)
	return nil
}

func (r *InstanceList) recordChange(id string, instance *ports.Instance) {
	if instance == nil {
		delete(r.actual, id)
	} else {
		r.actual[id] = *instance
	}
	r.pending = append(r.pending, change{changedAt: r.cfg.Clock.Now(), id: id, instance: instance})
}

// List returns the visible instances, sorted by ID.
func (r *InstanceList) List() []ports.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applyPending(r.cfg.Clock.Now().Add(-r.cfg.Lag()))
	instances := make([]ports.Instance, 0, len(r.visible))
	for _, instance := range r.visible {
		instances = append(instances, instance)
	}
	slices.SortFunc(instances, func(a, b ports.Instance) int { return strings.Compare(a.ID, b.ID) })
	return instances
}

// applyPending makes the changes visible that were made until a time.
func (r *InstanceList) applyPending(until time.Time) {
	for len(r.pending) > 0 && !r.pending[0].changedAt.After(until) {
		if next := r.pending[0]; next.instance == nil {
			delete(r.visible, next.id)
		} else {
			r.visible[next.id] = *next.instance
		}
		r.pending = r.pending[1:]
	}
}
