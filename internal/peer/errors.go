package peer

import (
	"context"
	"errors"
	"fmt"
	"net"

	"github.com/twitchtv/twirp"

	"arbutuswing.example/internal/ports"
)

// causeKey is the metadata key that marks errors returned by the peer's own handlers. An error without it may come from
// the transport, and then does not show whether an append took effect.
const causeKey = "aw-cause"

// Values of causeKey.
const (
	causeUnavailable = "log-unavailable"
	causeThrottled   = "log-throttled"
	causeNotReady    = "not-ready"
	causeOther       = "other"
)

// errorToWire converts a handler's error to a Twirp error whose metadata identifies the cause.
func errorToWire(err error) error {
	switch {
	case errors.Is(err, ports.ErrUnavailable):
		return twirp.NewError(twirp.Unavailable, err.Error()).WithMeta(causeKey, causeUnavailable)
	case errors.Is(err, ports.ErrThrottled):
		return twirp.NewError(twirp.ResourceExhausted, err.Error()).WithMeta(causeKey, causeThrottled)
	case errors.Is(err, ErrNotReady):
		return twirp.NewError(twirp.FailedPrecondition, err.Error()).WithMeta(causeKey, causeNotReady)
	default:
		return twirp.NewError(twirp.Internal, err.Error()).WithMeta(causeKey, causeOther)
	}
}

// errorFromWire wraps a call's error in the sentinel error for its cause, with the name of the call and the address.
func errorFromWire(call, address string, err error) error {
	var wire twirp.Error
	cause := ""
	if errors.As(err, &wire) {
		cause = wire.Meta(causeKey)
	}
	var sentinel error
	switch cause {
	case causeUnavailable:
		sentinel = ports.ErrUnavailable
	case causeThrottled:
		sentinel = ports.ErrThrottled
	case causeNotReady:
		sentinel = ErrNotReady
	case causeOther:
		sentinel = ErrRefused
	default:
		sentinel = ErrUnreachable
	}
	return fmt.Errorf("calling %s at %s: %w: %w", call, address, sentinel, err)
}

// notSent reports whether the call failed before a connection was established, so that the peer cannot have received
// it.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.Is(err, context.DeadlineExceeded) || (errors.As(err, &timeout) && timeout.Timeout())
}
