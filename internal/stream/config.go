package stream

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/peer"
	"arbutuswing.example/internal/ports"
	"arbutuswing.example/internal/record"
	"arbutuswing.example/internal/state"
)

// ErrConfig reports settings that cannot be used.
var ErrConfig = errors.New("invalid stream settings")

// StateMachine applies log envelopes to the replicated state; *state.Machine implements it.
type StateMachine interface {
	Apply(offset model.Offset, env record.Envelope) state.ApplyResult
	Offset() model.Offset
	Snapshot() ([]byte, error)
	Restore(snapshot []byte) ([]state.Event, error)
	StateEvents() []state.Event
}

// Source is a live peer through which the log can be read or that can serve a snapshot.
type Source struct {
	Address string
	// Local is set if the peer is in this instance's data centre.
	Local bool
	// Applied is the last offset that the peer reported.
	Applied model.Offset
	// LogAnswers is set if the log answers the peer's own reads.
	LogAnswers bool
	// Ready is set if the peer can serve a snapshot.
	Ready bool
}

// Peers describes the other entry instances, as far as this one knows them.
type Peers interface {
	// Count returns the number of instances that may append to the log, this one included: members, also dead ones, and
	// live peers that are not recorded yet.
	Count() int
	// Sources returns the live peers.
	Sources() []Source
	// IsElected reports whether this instance comes first among the live members in the rendezvous order for the duty.
	IsElected(duty string) bool
}

// Relay reads and appends to the log through peers and fetches their snapshots; *peer.Client implements it.
type Relay interface {
	ReadLog(ctx context.Context, address string, from model.Offset, limit int, wait time.Duration) (ports.Batch, error)
	AppendLog(ctx context.Context, address string, data []byte) (model.Offset, error)
	Snapshot(ctx context.Context, address string) (peer.Snapshot, error)
}

// Config configures a Stream.
type Config struct {
	Logger *zap.Logger
	Clock  clockwork.Clock
	// Instance and Incarnation identify this writer.
	Instance     model.InstanceID
	Incarnation  model.Incarnation
	Log          ports.Log
	StateMachine StateMachine
	Peers        Peers
	Relay        Relay

	// CommitIntervalPerMember times Peers.Count is the least time between two commits of this instance, at most
	// MaxCommitInterval.
	CommitIntervalPerMember time.Duration
	MaxCommitInterval       time.Duration
	// PollWait is how long a read waits for the first record. A state is known to be fresh as of the start of the last
	// finished read, so its age reaches twice PollWait while the log is idle.
	PollWait time.Duration
	// ReadTimeout bounds a read, in addition to PollWait.
	ReadTimeout time.Duration
	// MaxReadRecords is the largest number of records in one read.
	MaxReadRecords int
	// AppendTimeout bounds one append.
	AppendTimeout time.Duration
	// ReadBackWait is how long the writer waits to read an appended envelope back before it appends it again.
	ReadBackWait time.Duration
	// MinRetryDelay and MaxRetryDelay bound the exponential back-off of reads and appends.
	MinRetryDelay time.Duration
	MaxRetryDelay time.Duration
	// RefuseAfter is how long appends must fail before queued operations are refused.
	RefuseAfter time.Duration
	// FreshBound is how long after the start of a read its result counts as fresh.
	FreshBound time.Duration
	// RelayAfter is how old the last direct read must be before the log is read through peers.
	RelayAfter time.Duration
	// PeerWait is how long a starting instance waits for a peer that can serve a snapshot before it searches the log
	// for one.
	PeerWait time.Duration
	// MaxQueuedOps and MaxQueuedBytes bound the operations that wait to be put into an envelope.
	MaxQueuedOps   int
	MaxQueuedBytes int
	// MaxEnvelopeBytes is the largest size of an encoded envelope.
	MaxEnvelopeBytes int
	// SnapshotRecords is the number of records after the newest snapshot at which the next one is due.
	SnapshotRecords int
	// MinSnapshotInterval is the shortest time between two snapshots.
	MinSnapshotInterval time.Duration
	// Retention is the retention period of the log that is assumed until the log has dropped records.
	Retention time.Duration
	// MaxQueuedUpdates is the number of updates kept for a subscriber; one that falls further behind gets the whole
	// state instead.
	MaxQueuedUpdates int
}

// WithDefaults returns the configuration with defaults for unset fields.
func (c Config) WithDefaults() Config {
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	if c.Clock == nil {
		c.Clock = clockwork.NewRealClock()
	}
	c.CommitIntervalPerMember = cmp.Or(c.CommitIntervalPerMember, 10*time.Millisecond)
	c.MaxCommitInterval = cmp.Or(c.MaxCommitInterval, 500*time.Millisecond)
	c.PollWait = cmp.Or(c.PollWait, 400*time.Millisecond)
	c.ReadTimeout = cmp.Or(c.ReadTimeout, time.Second)
	c.MaxReadRecords = cmp.Or(c.MaxReadRecords, 500)
	c.AppendTimeout = cmp.Or(c.AppendTimeout, time.Second)
	c.ReadBackWait = cmp.Or(c.ReadBackWait, time.Second)
	c.MinRetryDelay = cmp.Or(c.MinRetryDelay, 20*time.Millisecond)
	c.MaxRetryDelay = cmp.Or(c.MaxRetryDelay, 500*time.Millisecond)
	c.RefuseAfter = cmp.Or(c.RefuseAfter, 500*time.Millisecond)
	c.FreshBound = cmp.Or(c.FreshBound, 2*time.Second)
	c.RelayAfter = cmp.Or(c.RelayAfter, c.FreshBound*3/5)
	c.PeerWait = cmp.Or(c.PeerWait, time.Second)
	c.MaxQueuedOps = cmp.Or(c.MaxQueuedOps, 8192)
	c.MaxQueuedBytes = cmp.Or(c.MaxQueuedBytes, 4<<20)
	c.MaxEnvelopeBytes = cmp.Or(c.MaxEnvelopeBytes, 256<<10)
	c.SnapshotRecords = cmp.Or(c.SnapshotRecords, 20_000)
	c.MinSnapshotInterval = cmp.Or(c.MinSnapshotInterval, 10*time.Second)
	c.Retention = cmp.Or(c.Retention, time.Hour)
	c.MaxQueuedUpdates = cmp.Or(c.MaxQueuedUpdates, 1024)
	return c
}

// Check returns ErrConfig for settings that cannot be used.
func (c Config) Check() error {
	if c.Instance == "" || c.Log == nil || c.StateMachine == nil || c.Peers == nil || c.Relay == nil {
		return fmt.Errorf("%w: instance, log, state machine, peers and relay must be set", ErrConfig)
	}
	if 2*c.PollWait >= c.RelayAfter || c.RelayAfter >= c.FreshBound {
		return fmt.Errorf("%w: the relay delay must be above twice the poll wait and below the freshness bound", ErrConfig)
	}
	for _, d := range []time.Duration{
		c.CommitIntervalPerMember, c.MaxCommitInterval, c.PollWait, c.ReadTimeout, c.AppendTimeout, c.ReadBackWait,
		c.MinRetryDelay, c.MaxRetryDelay, c.RefuseAfter, c.FreshBound, c.RelayAfter, c.PeerWait, c.MinSnapshotInterval,
		c.Retention,
	} {
		if d <= 0 {
			return fmt.Errorf("%w: durations must be positive", ErrConfig)
		}
	}
	for _, n := range []int{
		c.MaxReadRecords, c.MaxQueuedOps, c.MaxQueuedBytes, c.MaxEnvelopeBytes, c.SnapshotRecords, c.MaxQueuedUpdates,
	} {
		if n <= 0 {
			return fmt.Errorf("%w: limits must be positive", ErrConfig)
		}
	}
	return nil
}
