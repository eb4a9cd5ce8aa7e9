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

// ErrConfig reports an invalid configuration.
var ErrConfig = errors.New("invalid configuration")

// DefaultIsolationLimit is the default for how long a data centre that is cut off keeps its tasks running.
const DefaultIsolationLimit = 90 * time.Minute

// Config configures Links.
type Config struct {
	Members *member.Service
	Stream  *stream.Stream
	Clock   clockwork.Clock
	Self    model.InstanceID
	// DataCentre is the data centre of this instance.
	DataCentre model.DataCentreID
	// IsolationLimit is how long a data centre must be silent before it counts as isolated. It must be the same at all
	// instances.
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

// Check returns ErrConfig for an invalid configuration.
func (c Config) Check() error {
	if c.Members == nil || c.Stream == nil || c.Self == "" || c.DataCentre == "" || c.IsolationLimit <= 0 {
		return fmt.Errorf("%w: Members, Stream, Self, DataCentre and IsolationLimit are required", ErrConfig)
	}
	return nil
}

// Links adds information from the stream to member.Service, which decides what each connectivity state allows.
type Links struct {
	*member.Service
	cfg Config
}

// New returns Links; it returns ErrConfig for an invalid configuration.
func New(cfg Config) (*Links, error) {
	cfg = cfg.WithDefaults()
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	return &Links{Service: cfg.Members, cfg: cfg}, nil
}

// IsPlacer reports whether this instance is the elected placer of its data centre and has a state to place with.
func (l *Links) IsPlacer() bool {
	placer, ok := l.Placer(l.cfg.DataCentre)
	return ok && placer == l.cfg.Self && l.cfg.Stream.Ready()
}

// ConnectedSince returns the time since which records can be read and written; it returns false if they cannot be. A
// change between connected and relayed starts a new period, so it can only lengthen a wait.
func (l *Links) ConnectedSince() (time.Time, bool) {
	view := l.Connectivity()
	return view.Since, view.State == member.Connected || view.State == member.Relayed
}

// Isolated reports whether this instance has heard from no instance of the data centre for the isolation limit.
func (l *Links) Isolated(dc model.DataCentreID) bool {
	return l.cfg.Clock.Since(l.LastContact(dc)) >= l.cfg.IsolationLimit
}

// FreshAsOf returns a time up to which the state machine contains every record.
func (l *Links) FreshAsOf() time.Time { return l.cfg.Stream.Freshness() }

// MayDecide reports whether this instance's membership is recent enough to decide about request IDs, which it is unless
// the instance is cut off.
func (l *Links) MayDecide() bool { return l.Connectivity().State != member.CutOff }
