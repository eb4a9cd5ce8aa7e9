package peer

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
)

// ErrConfig reports invalid settings.
var ErrConfig = errors.New("invalid peer settings")

// ClientConfig configures a Client.
type ClientConfig struct {
	Logger *zap.Logger
	Clock  clockwork.Clock
	// HeartbeatTimeout limits a heartbeat; it must be shorter than the interval between heartbeats.
	HeartbeatTimeout time.Duration
	// CallTimeout limits Claim, Settle, Handoff and AppendLog; ReadLog may take its wait in addition.
	CallTimeout time.Duration
	// SnapshotTimeout limits the transfer of a whole snapshot.
	SnapshotTimeout time.Duration
	// DialTimeout limits the opening of a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long a connection may be idle before it is closed.
	IdleTimeout time.Duration
	// IdleConnections is the maximum number of idle connections to each peer.
	IdleConnections int
}

// WithDefaults returns the configuration with unset fields filled in.
func (c ClientConfig) WithDefaults() ClientConfig {
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	if c.Clock == nil {
		c.Clock = clockwork.NewRealClock()
	}
	c.HeartbeatTimeout = cmp.Or(c.HeartbeatTimeout, 400*time.Millisecond)
	c.CallTimeout = cmp.Or(c.CallTimeout, time.Second)
	c.SnapshotTimeout = cmp.Or(c.SnapshotTimeout, 10*time.Second)
	c.DialTimeout = cmp.Or(c.DialTimeout, 300*time.Millisecond)
	c.IdleTimeout = cmp.Or(c.IdleTimeout, 30*time.Second)
	c.IdleConnections = cmp.Or(c.IdleConnections, 4)
	return c
}

// Check returns ErrConfig for invalid settings.
func (c ClientConfig) Check() error {
	for _, d := range []time.Duration{c.HeartbeatTimeout, c.CallTimeout, c.SnapshotTimeout, c.DialTimeout, c.IdleTimeout} {
		if d <= 0 {
			return fmt.Errorf("%w: timeouts must be positive", ErrConfig)
		}
	}
	if c.IdleConnections < 1 {
		return fmt.Errorf("%w: at least one idle connection is needed", ErrConfig)
	}
	return nil
}

// ServerConfig configures a Server.
type ServerConfig struct {
	Logger *zap.Logger
	// Listener accepts connections from peers; the server closes it.
	Listener   net.Listener
	Heartbeats HeartbeatHandler
	Stream     Stream
	Requests   RequestOwner
	// StopTimeout limits the wait for open calls when the server stops.
	StopTimeout time.Duration
	// MaxBody is the maximum size of a request body in bytes.
	MaxBody int64
	// MaxWait limits how long a relayed read may wait for records.
	MaxWait time.Duration
	// MaxRecords limits the number of records in a relayed read.
	MaxRecords int
}

// WithDefaults returns the configuration with unset fields filled in.
func (c ServerConfig) WithDefaults() ServerConfig {
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	c.StopTimeout = cmp.Or(c.StopTimeout, 2*time.Second)
	c.MaxWait = cmp.Or(c.MaxWait, time.Second)
	c.MaxBody = cmp.Or(c.MaxBody, 1<<20)
	c.MaxRecords = cmp.Or(c.MaxRecords, 1000)
	return c
}

// Check returns ErrConfig for invalid settings.
func (c ServerConfig) Check() error {
	if c.Listener == nil || c.Heartbeats == nil || c.Stream == nil || c.Requests == nil {
		return fmt.Errorf("%w: listener, heartbeats, stream and requests must be set", ErrConfig)
	}
	if c.StopTimeout <= 0 || c.MaxBody <= 0 || c.MaxWait <= 0 || c.MaxRecords <= 0 {
		return fmt.Errorf("%w: limits must be positive", ErrConfig)
	}
	return nil
}
