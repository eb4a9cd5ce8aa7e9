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

// feed hands the memberships of the fold to the at-most-once table.
type feed struct {
	stream *stream.Stream
	once   *once.Service
	// empty is set while no membership has ever been recorded.
	empty bool
}

func newFeed(journal *stream.Stream, claims *once.Service) *feed {
	return &feed{stream: journal, once: claims, empty: true}
}

// runUpdates follows the fold until ctx ends.
func (f *feed) runUpdates(ctx context.Context) error {
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
		f.members(update)
	}
}

// errFeed reports that the updates of the fold ended.
var errFeed = errors.New("following the folded state failed")

func (f *feed) members(update stream.Update) {
	for _, event := range update.Events {
		changed, ok := event.(state.MembersChanged)
		if !ok || changed.Offset == model.NoOffset {
			continue
		}
		// A description of the whole state shows only the latest membership, so earlier ones may have existed.
		f.once.ApplyMembership(membership(changed), f.empty && !update.Resync)
		f.empty = false
	}
}

func membership(changed state.MembersChanged) once.Membership {
	out := once.Membership{Offset: changed.Offset}
	for _, m := range changed.Members {
		out.Members = append(out.Members, onceMember(m.Instance, m.Incarnation, m.PeerAddress))
	}
	return out
}

// connections keeps the connections per endpoint within this instance's part of what an endpoint accepts.
type connections struct {
	endpoint *ephttp.Client
	limit    int
	count    func() int
}

func (c connections) adjust() { c.endpoint.SetMaxConnections(max(c.limit/max(c.count(), 1), 1)) }
