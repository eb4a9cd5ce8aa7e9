package member

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
	"arbutuswing.example/internal/stream"
)

// Errors of the package.
var (
	// ErrConfig reports invalid settings.
	ErrConfig = errors.New("invalid member settings")
	// ErrReplaced reports that a newer incarnation of this instance has joined, so that this process must exit.
	ErrReplaced = errors.New("a newer incarnation of this instance has joined")
)

// Self describes this instance.
type Self struct {
	peer.Sender
	DataCentre   model.DataCentreID
	PeerAddress  string
	AdminAddress string
}

// TableConfig configures a Table.
type TableConfig struct {
	Clock clockwork.Clock
	Self  Self
	// DeadAfter is how long a peer may be silent before it counts as dead.
	DeadAfter time.Duration
	// FreshBound is how long after a read of the log the state counts as up to date.
	FreshBound time.Duration
	// Grace is how long a cut-off instance continues to do work that needs the newest state. FreshBound plus Grace is
	// the time within which an operator's change takes effect at instances that cannot read it.
	Grace time.Duration
	// IsolationLimit is how long a cut-off instance continues to renew the leases of running tasks.
	IsolationLimit time.Duration
	// PeerLimit is the maximum number of peers in the table.
	PeerLimit int
}

// WithDefaults returns the configuration with unset fields filled in.
func (c TableConfig) WithDefaults() TableConfig {
	if c.Clock == nil {
		c.Clock = clockwork.NewRealClock()
	}
	c.DeadAfter = cmp.Or(c.DeadAfter, 2*time.Second)
	c.FreshBound = cmp.Or(c.FreshBound, 2*time.Second)
	c.Grace = cmp.Or(c.Grace, 3*time.Second)
	c.IsolationLimit = cmp.Or(c.IsolationLimit, 90*time.Minute)
	c.PeerLimit = cmp.Or(c.PeerLimit, 1024)
	return c
}

// Check returns ErrConfig for invalid settings.
func (c TableConfig) Check() error {
	if c.Self.Instance == "" || c.Self.DataCentre == "" {
		return fmt.Errorf("%w: instance and data centre must be set", ErrConfig)
	}
	for _, d := range []time.Duration{c.DeadAfter, c.FreshBound, c.Grace, c.IsolationLimit} {
		if d <= 0 {
			return fmt.Errorf("%w: durations must be positive", ErrConfig)
		}
	}
	if c.PeerLimit < 1 {
		return fmt.Errorf("%w: peer-limit must be positive", ErrConfig)
	}
	return nil
}

// Stream is the part of the record stream that membership needs; *stream.Stream implements it.
type Stream interface {
	Submit(ctx context.Context, ops ...record.Op) ([]error, error)
	Status() stream.Status
	Subscribe() *stream.Subscription
}

// HeartbeatClient sends heartbeats; *peer.Client implements it.
type HeartbeatClient interface {
	Heartbeat(ctx context.Context, address string, own peer.Status) (peer.HeartbeatAnswer, error)
	Retain(addresses []string)
}

// Config configures a Service.
type Config struct {
	Logger          *zap.Logger
	Clock           clockwork.Clock
	Table           *Table
	Stream          Stream
	HeartbeatClient HeartbeatClient
	Lister          ports.Lister
	// Load returns the number of requests in flight, which is part of the status sent to peers.
	Load func() int64
	// HeartbeatInterval is the interval between heartbeats.
	HeartbeatInterval time.Duration
	// RemotePeers is the number of peers in each other data centre to which heartbeats are sent.
	RemotePeers int
	// ListInterval is the interval between reads of the platform's instance list.
	ListInterval time.Duration
	// ReapInterval is the interval between checks for dead members.
	ReapInterval time.Duration
	// ReapAfter is how long a member must be dead before it is removed although the platform's instance list still shows it.
	ReapAfter time.Duration
	// SubmitTimeout limits the recording of a join or a removal.
	SubmitTimeout time.Duration
	// RejoinPause is the pause after each attempt to record this instance.
	RejoinPause time.Duration
}

// WithDefaults returns the configuration with unset fields filled in.
func (c Config) WithDefaults() Config {
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	if c.Clock == nil {
		c.Clock = clockwork.NewRealClock()
	}
	c.HeartbeatInterval = cmp.Or(c.HeartbeatInterval, 500*time.Millisecond)
	c.RemotePeers = cmp.Or(c.RemotePeers, 2)
	c.ListInterval = cmp.Or(c.ListInterval, 2*time.Second)
	c.ReapInterval = cmp.Or(c.ReapInterval, time.Second)
	c.ReapAfter = cmp.Or(c.ReapAfter, 10*time.Second)
	c.SubmitTimeout = cmp.Or(c.SubmitTimeout, 5*time.Second)
	c.RejoinPause = cmp.Or(c.RejoinPause, time.Second)
	return c
}

// Check returns ErrConfig for invalid settings.
func (c Config) Check() error {
	if c.Table == nil || c.Stream == nil || c.HeartbeatClient == nil || c.Lister == nil {
		return fmt.Errorf("%w: table, stream, heartbeat client and lister must be set", ErrConfig)
	}
	for _, d := range []time.Duration{
		c.HeartbeatInterval, c.ListInterval, c.ReapInterval, c.ReapAfter, c.SubmitTimeout, c.RejoinPause,
	} {
		if d <= 0 {
			return fmt.Errorf("%w: durations must be positive", ErrConfig)
		}
	}
	if c.RemotePeers < 1 {
		return fmt.Errorf("%w: remote-peers must be positive", ErrConfig)
	}
	return nil
}
