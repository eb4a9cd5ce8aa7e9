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

// Folder folds envelopes into the shared state; *state.Machine implements it.
type Folder interface {
	Apply(offset model.Offset, env record.Envelope) state.ApplyResult
	Offset() model.Offset
	Snapshot() ([]byte, error)
	Restore(snapshot []byte) ([]state.Event, error)
	Describe() []state.Event
}

// Source is a live peer that may relay the log or serve a snapshot.
type Source struct {
	Address string
	// Local tells whether the peer is in this instance's data centre.
	Local bool
	// Applied is the last offset that the peer reported.
	Applied model.Offset
	// LogAnswers tells whether the peer itself reads the log.
	LogAnswers bool
	// Ready tells whether the peer can serve a snapshot.
	Ready bool
}

// Peers tells what is known of the other entry instances.
type Peers interface {
	// Count returns the number of live members, this instance included.
	Count() int
	// Sources returns the live peers.
	Sources() []Source
	// First reports whether this instance is the first live member in rendezvous order for the duty.
	First(duty string) bool
}

// Relay calls peers; *peer.Client implements it.
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
	Instance    model.InstanceID
	Incarnation model.Incarnation
	Log         ports.Log
	Folder      Folder
	Peers       Peers
	Relay       Relay

	// CommitUnit is the part of the commit interval for each live member, CommitMax its upper bound.
	CommitUnit time.Duration
	CommitMax  time.Duration
	// PollWait is how long a read waits for the first record. Freshness counts from the start of the last finished
	// read, so its age reaches twice PollWait while the log is idle.
	PollWait time.Duration
	// ReadTimeout bounds a read on top of PollWait.
	ReadTimeout time.Duration
	// ReadLimit is the number of records in one read.
	ReadLimit int
	// AppendTimeout bounds one append.
	AppendTimeout time.Duration
	// ReadBackWait is the wait for an accepted append to be read back before it is repeated.
	ReadBackWait time.Duration
	// RetryMin and RetryMax bound the exponential back-off of reads and appends.
	RetryMin time.Duration
	RetryMax time.Duration
	// RefuseAfter is how long appends must fail before queued operations are refused.
	RefuseAfter time.Duration
	// FreshBound is the age up to which a read counts as fresh.
	FreshBound time.Duration
	// RelayAfter is the age of the last direct read from which on peers are asked.
	RelayAfter time.Duration
	// PeerWait is how long a starting instance waits for a peer to answer before it scans the log.
	PeerWait time.Duration
	// QueueOps and QueueBytes bound the operations that wait for an envelope.
	QueueOps   int
	QueueBytes int
	// EnvelopeLimit is the longest envelope in bytes.
	EnvelopeLimit int
	// SnapshotRecords is the number of records after which a snapshot is due.
	SnapshotRecords int
	// SnapshotGap is the shortest time between two snapshots.
	SnapshotGap time.Duration
	// Retention is the assumed retention period until a shorter one is learned from the log.
	Retention time.Duration
	// SubscriberQueue is the number of updates kept for a subscriber before it is resynchronised.
	SubscriberQueue int
}

// WithDefaults fills in what is not set.
func (c Config) WithDefaults() Config {
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	if c.Clock == nil {
		c.Clock = clockwork.NewRealClock()
	}
	c.CommitUnit = cmp.Or(c.CommitUnit, 10*time.Millisecond)
	c.CommitMax = cmp.Or(c.CommitMax, 500*time.Millisecond)
	c.PollWait = cmp.Or(c.PollWait, 400*time.Millisecond)
	c.ReadTimeout = cmp.Or(c.ReadTimeout, time.Second)
	c.ReadLimit = cmp.Or(c.ReadLimit, 500)
	c.AppendTimeout = cmp.Or(c.AppendTimeout, time.Second)
	c.ReadBackWait = cmp.Or(c.ReadBackWait, time.Second)
	c.RetryMin = cmp.Or(c.RetryMin, 20*time.Millisecond)
	c.RetryMax = cmp.Or(c.RetryMax, 500*time.Millisecond)
	c.RefuseAfter = cmp.Or(c.RefuseAfter, 500*time.Millisecond)
	c.FreshBound = cmp.Or(c.FreshBound, 2*time.Second)
	c.RelayAfter = cmp.Or(c.RelayAfter, c.FreshBound*3/5)
	c.PeerWait = cmp.Or(c.PeerWait, time.Second)
	c.QueueOps = cmp.Or(c.QueueOps, 8192)
	c.QueueBytes = cmp.Or(c.QueueBytes, 4<<20)
	c.EnvelopeLimit = cmp.Or(c.EnvelopeLimit, 256<<10)
	c.SnapshotRecords = cmp.Or(c.SnapshotRecords, 20_000)
	c.SnapshotGap = cmp.Or(c.SnapshotGap, 10*time.Second)
	c.Retention = cmp.Or(c.Retention, time.Hour)
	c.SubscriberQueue = cmp.Or(c.SubscriberQueue, 1024)
	return c
}

// Check returns ErrConfig for settings that cannot be used.
func (c Config) Check() error {
	if c.Instance == "" || c.Log == nil || c.Folder == nil || c.Peers == nil || c.Relay == nil {
		return fmt.Errorf("%w: instance, log, folder, peers and relay must be set", ErrConfig)
	}
	if 2*c.PollWait >= c.RelayAfter || c.RelayAfter >= c.FreshBound {
		return fmt.Errorf("%w: twice poll-wait must be below relay-after, and that below fresh-bound", ErrConfig)
	}
	for _, d := range []time.Duration{
		c.CommitUnit, c.CommitMax, c.PollWait, c.ReadTimeout, c.AppendTimeout, c.ReadBackWait, c.RetryMin, c.RetryMax,
		c.RefuseAfter, c.FreshBound, c.RelayAfter, c.PeerWait, c.SnapshotGap, c.Retention,
	} {
		if d <= 0 {
			return fmt.Errorf("%w: durations must be positive", ErrConfig)
		}
	}
	for _, n := range []int{
		c.ReadLimit, c.QueueOps, c.QueueBytes, c.EnvelopeLimit, c.SnapshotRecords, c.SubscriberQueue,
	} {
		if n <= 0 {
			return fmt.Errorf("%w: limits must be positive", ErrConfig)
		}
	}
	return nil
}
