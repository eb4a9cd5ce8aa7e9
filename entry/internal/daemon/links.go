package daemon

import (
	"errors"

	"github.com/jonboulle/clockwork"

	"arbutuswing.example/internal/config"
	"arbutuswing.example/internal/links"
	"arbutuswing.example/internal/member"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/once"
	"arbutuswing.example/internal/opapi"
	"arbutuswing.example/internal/state"
	"arbutuswing.example/internal/stream"
)

func newLinks(
	settings config.Entry, members *member.Service, journal *stream.Stream, clock clockwork.Clock,
) (*links.Links, error) {
	return links.New(links.Config{
		Members: members, Stream: journal, Clock: clock, Self: settings.Instance, DataCentre: settings.DataCentre,
		IsolationLimit: settings.Lease.Isolation.Std(),
	})
}

// health tells the callers' API which duties this instance may carry out.
type health struct {
	*member.Service
	stream *stream.Stream
}

func newHealth(members *member.Service, journal *stream.Stream) *health {
	return &health{Service: members, stream: journal}
}

// MayRecord reports whether the log can take operations.
func (h *health) MayRecord() bool { return h.MayAppend() }

// Ready reports whether this instance has the newest state that it could get.
func (h *health) Ready() bool { return h.stream.Ready() }

// errNotReady reports that this instance has no state to serve from.
var errNotReady = errors.New("no state has been read yet")

func (h *health) check() error {
	if !h.stream.Ready() {
		return errNotReady
	}
	return nil
}

// shown is the folded state as the operator API shows it.
type shown struct{ *state.Machine }

// Proposals returns the open proposals.
func (s shown) Proposals() []opapi.Proposal {
	open := s.Machine.Proposals()
	out := make([]opapi.Proposal, 0, len(open))
	for _, p := range open {
		out = append(out, opapi.Proposal{
			Change: p.Change, Recorded: p.Recorded, Waiting: missing(p.Needed, p.Approved), Approved: p.Approved,
		})
	}
	return out
}

func missing(needed, approved []model.OrganisationID) []model.OrganisationID {
	has := make(map[model.OrganisationID]bool, len(approved))
	for _, organisation := range approved {
		has[organisation] = true
	}
	var out []model.OrganisationID
	for _, organisation := range needed {
		if !has[organisation] {
			out = append(out, organisation)
		}
	}
	return out
}

func onceMember(instance model.InstanceID, incarnation model.Incarnation, address string) once.Member {
	return once.Member{Instance: instance, Incarnation: incarnation, PeerAddress: address}
}
