package peer

import (
	"context"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/peerpb"
	"arbutuswing.example/internal/ports"
)

// pathPrefix starts the URL path of all calls.
const pathPrefix = "/peer"

// Client calls peers by address; its methods are safe for concurrent use.
type Client struct {
	cfg  ClientConfig
	pool *pool
}

// NewClient returns a client, which opens connections when needed. It returns ErrConfig for invalid settings.
func NewClient(cfg ClientConfig) (*Client, error) {
	cfg = cfg.WithDefaults()
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	return &Client{cfg: cfg, pool: newPool(cfg)}, nil
}

// Heartbeat sends a heartbeat; it returns ErrUnreachable if no answer arrives within HeartbeatTimeout.
func (c *Client) Heartbeat(ctx context.Context, address string, own Status) (HeartbeatAnswer, error) {
	out, err := call(ctx, c, "Beat", address, c.cfg.HeartbeatTimeout, &peerpb.BeatRequest{Status: statusToWire(own)},
		peerpb.Peer.Beat)
	if err != nil {
		return HeartbeatAnswer{}, err
	}
	return answerFromWire(out), nil
}

// ReadLog reads the platform's log through a peer. It returns ports.ErrTruncated with a batch that contains only First
// and Next, ports.ErrUnavailable if the peer cannot read the log, ErrRefused or ErrUnreachable.
func (c *Client) ReadLog(
	ctx context.Context, address string, from model.Offset, limit int, wait time.Duration,
) (ports.Batch, error) {
	req := &peerpb.ReadLogRequest{From: int64(from), Limit: int32(min(limit, 1<<20)), Wait: int64(wait)}
	out, err := call(ctx, c, "ReadLog", address, wait+c.cfg.CallTimeout, req, peerpb.Peer.ReadLog)
	if err != nil {
		return ports.Batch{}, err
	}
	batch := batchFromWire(out)
	if out.GetTruncated() {
		return batch, fmt.Errorf("reading the log through %s: %w", address, ports.ErrTruncated)
	}
	return batch, nil
}

// AppendLog appends to the platform's log through a peer. It returns ports.ErrUnavailable or ports.ErrThrottled if the
// append certainly had no effect, else ports.ErrUnknownEffect.
func (c *Client) AppendLog(ctx context.Context, address string, data []byte) (model.Offset, error) {
	req := &peerpb.AppendLogRequest{Data: data}
	out, err := call(ctx, c, "AppendLog", address, c.cfg.CallTimeout, req, peerpb.Peer.AppendLog)
	switch {
	case err == nil:
		return model.Offset(out.GetOffset()), nil
	case hadNoEffect(err):
		return model.NoOffset, err
	case notSent(err):
		return model.NoOffset, fmt.Errorf("%w: %w", ports.ErrUnavailable, err)
	default:
		return model.NoOffset, fmt.Errorf("%w: %w", ports.ErrUnknownEffect, err)
	}
}

// Snapshot fetches the state of a peer's state machine; it returns ErrNotReady, ErrRefused or ErrUnreachable.
func (c *Client) Snapshot(ctx context.Context, address string) (Snapshot, error) {
	out, err := call(ctx, c, "Snapshot", address, c.cfg.SnapshotTimeout, &peerpb.SnapshotRequest{},
		peerpb.Peer.Snapshot)
	if err != nil {
		return Snapshot{}, err
	}
	return Snapshot{
		At: model.Offset(out.GetAt()), Data: out.GetData(),
		Recorded: model.Offset(out.GetRecorded()), RecordedAge: time.Duration(out.GetRecordedAge()),
	}, nil
}

// Retain closes the idle connections to all peers except those at addresses, so that the connections and call counts of
// replaced instances do not accumulate.
func (c *Client) Retain(addresses []string) { c.pool.retain(addresses) }

// Dump returns the call counts by peer address for the state dump.
func (c *Client) Dump() any { return c.pool.dump() }

// call runs one method of the generated client with a timeout and records its result.
func call[Req, Resp any](
	ctx context.Context, c *Client, name, address string, timeout time.Duration, req Req,
	method func(peerpb.Peer, context.Context, Req) (Resp, error),
) (Resp, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, c.cfg.Clock, timeout)
	defer cancel()
	conns := c.pool.connsTo(address)
	start := c.cfg.Clock.Now()
	out, err := method(conns.peer, ctx, req)
	conns.recordCall(name, c.cfg.Clock.Since(start), err)
	if err != nil {
		var zero Resp
		return zero, errorFromWire(name, address, err)
	}
	return out, nil
}
