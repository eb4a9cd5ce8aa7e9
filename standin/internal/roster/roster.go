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
	// ErrBadRow reports a row that can't be listed.
	ErrBadRow = errors.New("bad row")
)

// Config describes a list.
type Config struct {
	Clock clockwork.Clock
	// Rows are on the list from the start.
	Rows []ports.Instance
	// Lag returns how late changes show at present.
	Lag func() time.Duration
}

type change struct {
	at  time.Time
	id  string
	row *ports.Instance
}

// Roster is the list: what is true, and what it shows.
type Roster struct {
	cfg Config

	mu      sync.Mutex
	current map[string]ports.Instance
	shown   map[string]ports.Instance
	pending []change
}

// New returns a list that shows the configured rows.
func New(cfg Config) *Roster {
	r := &Roster{cfg: cfg, current: make(map[string]ports.Instance), shown: make(map[string]ports.Instance)}
	for _, row := range cfg.Rows {
		r.current[row.ID] = row
		r.shown[row.ID] = row
	}
	return r
}

// Put adds or replaces a row; it returns ErrBadRow.
func (r *Roster) Put(row ports.Instance) error {
	if err := Check(row); err != nil {
		return err
	}
	if row.Presence == "" {
		row.Presence = ports.PresenceLive
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.apply(row.ID, &row)
	return nil
}

// Check returns ErrBadRow for a row that can't be listed.
func Check(row ports.Instance) error {
	switch row.Role {
	case ports.RoleEntry, ports.RoleWorker, ports.RoleEndpoint:
	default:
		return fmt.Errorf("%w: %q: unknown role %q", ErrBadRow, row.ID, row.Role)
	}
	if row.ID == "" || row.Address == "" {
		return fmt.Errorf("%w: %q: needs an ID and an address", ErrBadRow, row.ID)
	}
	return checkPresence(row.Presence)
}

func checkPresence(presence ports.Presence) error {
	switch presence {
	case "", ports.PresenceLive, ports.PresenceLeaving:
		return nil
	default:
		return fmt.Errorf("%w: unknown presence %q", ErrBadRow, presence)
	}
}

// Mark changes an instance's presence; it returns ErrUnknownInstance or ErrBadRow.
func (r *Roster) Mark(id string, presence ports.Presence) error {
	if err := checkPresence(presence); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	row, ok := r.current[id]
	if !ok {
		return fmt.Errorf("%w: %q", ErrUnknownInstance, id)
	}
	row.Presence = presence
	r.apply(id, &row)
	return nil
}

// Remove takes an instance off the list; it returns ErrUnknownInstance.
func (r *Roster) Remove(id string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.current[id]; !ok {
		return fmt.Errorf("%w: %q", ErrUnknownInstance, id)
	}
	r.apply(id, nil)
	return nil
}

func (r *Roster) apply(id string, row *ports.Instance) {
	if row == nil {
		delete(r.current, id)
	} else {
		r.current[id] = *row
	}
	r.pending = append(r.pending, change{at: r.cfg.Clock.Now(), id: id, row: row})
}

// List returns the rows as the list shows them, sorted by ID.
func (r *Roster) List() []ports.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reveal(r.cfg.Clock.Now().Add(-r.cfg.Lag()))
	rows := make([]ports.Instance, 0, len(r.shown))
	for _, row := range r.shown {
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b ports.Instance) int { return strings.Compare(a.ID, b.ID) })
	return rows
}

// reveal shows the changes that were made by a time.
func (r *Roster) reveal(until time.Time) {
	for len(r.pending) > 0 && !r.pending[0].at.After(until) {
		if next := r.pending[0]; next.row == nil {
			delete(r.shown, next.id)
		} else {
			r.shown[next.id] = *next.row
		}
		r.pending = r.pending[1:]
	}
}
