package daemon

import (
	"context"
	"errors"

	"arbutuswing.example/internal/ephttp"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/once"
	"arbutuswing.example/internal/state"
	"arbutuswing.example/internal/stream"
)

// membershipFeed passes each membership that the state machine adopts to the at-most-once table.
type membershipFeed struct {
	stream *stream.Stream
	once   *once.Service
	// first is true until a membership has been passed on.
	first bool
}

func newMembershipFeed(recordStream *stream.Stream, claims *once.Service) *membershipFeed {
	return &membershipFeed{stream: recordStream, once: claims, first: true}
}

// run follows the updates of the stream until ctx ends.
func (f *membershipFeed) run(ctx context.Context) error {
	sub := f.stream.Subscribe()
	defer sub.Close()
	for {
		update, err := sub.Next(ctx)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return errors.Join(errFeed, err)
		}
		f.passOn(update)
	}
}

// errFeed reports that the updates of the stream ended.
var errFeed = errors.New("following the state updates failed")

func (f *membershipFeed) passOn(update stream.Update) {
	for _, event := range update.Events {
		changed, ok := event.(state.MembersChanged)
		if !ok || changed.Offset == model.NoOffset {
			continue
		}
		// A resync contains only the latest membership, so earlier ones may have been recorded.
		f.once.ApplyMembership(membership(changed), f.first && !update.Resync)
		f.first = false
	}
}

func membership(changed state.MembersChanged) once.Membership {
	out := once.Membership{Offset: changed.Offset}
	for _, m := range changed.Members {
		out.Members = append(out.Members, onceMember(m.Instance, m.Incarnation, m.PeerAddress))
	}
	return out
}

// connections divides the limit of connections per endpoint evenly among the members.
type connections struct {
	endpoint *ephttp.Client
	limit    int
	count    func() int
}

func (c connections) adjust() { c.endpoint.SetMaxConnections(max(c.limit/max(c.count(), 1), 1)) }
