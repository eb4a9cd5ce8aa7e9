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
	settings config.Entry, members *member.Service, recordStream *stream.Stream, clock clockwork.Clock,
) (*links.Links, error) {
	return links.New(links.Config{
		Members: members, Stream: recordStream, Clock: clock, Self: settings.Instance, DataCentre: settings.DataCentre,
		IsolationLimit: settings.Lease.Isolation.Std(),
	})
}

// health implements front.Connectivity and the readiness check of the operator API.
type health struct {
	*member.Service
	stream *stream.Stream
}

func newHealth(members *member.Service, recordStream *stream.Stream) *health {
	return &health{Service: members, stream: recordStream}
}

// MayRecord reports whether operations can be appended to the log.
func (h *health) MayRecord() bool { return h.MayAppend() }

// Ready reports whether this instance has loaded the newest state that it could reach.
func (h *health) Ready() bool { return h.stream.Ready() }

// errNotReady reports that this instance has not loaded any state yet.
var errNotReady = errors.New("no state has been read yet")

func (h *health) check() error {
	if !h.stream.Ready() {
		return errNotReady
	}
	return nil
}

// stateView presents the state machine to the operator API; it implements admin.State.
type stateView struct{ *state.Machine }

// Proposals returns the open proposals.
func (s stateView) Proposals() []opapi.Proposal {
	open := s.Machine.Proposals()
	out := make([]opapi.Proposal, 0, len(open))
	for _, p := range open {
		out = append(out, opapi.Proposal{
			Change: p.Change, Recorded: p.Recorded, Waiting: missingApprovals(p.Needed, p.Approved), Approved: p.Approved,
		})
	}
	return out
}

func missingApprovals(needed, approved []model.OrganisationID) []model.OrganisationID {
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
