package links

import (
	"cmp"
	"errors"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"

	"arbutuswing.example/internal/member"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/stream"
)

// ErrConfig reports a configuration that can't work.
var ErrConfig = errors.New("invalid configuration")

// DefaultIsolationLimit is how long a cut-off data centre keeps its tasks running.
const DefaultIsolationLimit = 90 * time.Minute

// Config builds Links.
type Config struct {
	Members    *member.Service
	Stream     *stream.Stream
	Clock      clockwork.Clock
	Self       model.InstanceID
	DataCentre model.DataCentreID
	// IsolationLimit must be the same at all instances.
	IsolationLimit time.Duration
}

// WithDefaults returns the configuration with unset fields filled in.
func (c Config) WithDefaults() Config {
	if c.Clock == nil {
		c.Clock = clockwork.NewRealClock()
	}
	c.IsolationLimit = cmp.Or(c.IsolationLimit, DefaultIsolationLimit)
	return c
}

// Check returns ErrConfig for a configuration that can't work.
func (c Config) Check() error {
	if c.Members == nil || c.Stream == nil || c.Self == "" || c.DataCentre == "" || c.IsolationLimit <= 0 {
		return fmt.Errorf("%w: Members, Stream, Self, DataCentre and IsolationLimit are required", ErrConfig)
	}
	return nil
}

// Links joins what membership and the stream know; the rules of the connectivity states are those of member.Service.
type Links struct {
	*member.Service
	cfg Config
}

// New returns links.
func New(cfg Config) (*Links, error) {
	cfg = cfg.WithDefaults()
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	return &Links{Service: cfg.Members, cfg: cfg}, nil
}

// IsPlacer reports whether this instance places work in its data centre.
func (l *Links) IsPlacer() bool {
	placer, ok := l.Placer(l.cfg.DataCentre)
	return ok && placer == l.cfg.Self && l.cfg.Stream.Ready()
}

// ConnectedSince returns the start of the present state if records can be read and written. A change between connected
// and relayed counts as a break, which only makes a wait longer.
func (l *Links) ConnectedSince() (time.Time, bool) {
	view := l.Connectivity()
	return view.Since, view.State == member.Connected || view.State == member.Relayed
}

// Isolated reports whether no instance of the data centre was heard from for the isolation limit.
func (l *Links) Isolated(dc model.DataCentreID) bool {
	return l.cfg.Clock.Since(l.LastContact(dc)) >= l.cfg.IsolationLimit
}

// FreshAt returns a time up to which the fold holds every record.
func (l *Links) FreshAt() time.Time { return l.cfg.Stream.Freshness() }

// MayDecide reports whether the membership known here can't be far out of date.
func (l *Links) MayDecide() bool { return l.Connectivity().State != member.CutOff }
