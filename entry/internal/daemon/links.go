package daemon

import (
	"errors"
	"time"

	"github.com/jonboulle/clockwork"

	"arbutuswing.example/internal/config"
	"arbutuswing.example/internal/member"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/once"
	"arbutuswing.example/internal/opapi"
	"arbutuswing.example/internal/state"
	"arbutuswing.example/internal/stream"
)

// links tells the placer and the leases how this instance is connected.
type links struct {
	*member.Service
	stream    *stream.Stream
	clock     clockwork.Clock
	self      model.InstanceID
	centre    model.DataCentreID
	isolation time.Duration
}

func newLinks(
	settings config.Entry, members *member.Service, journal *stream.Stream, clock clockwork.Clock,
) *links {
	return &links{
		Service: members, stream: journal, clock: clock, self: settings.Instance, centre: settings.DataCentre,
		isolation: settings.Lease.Isolation.Std(),
	}
}

// IsPlacer reports whether this instance places work in its data centre.
func (l *links) IsPlacer() bool {
	placer, ok := l.Placer(l.centre)
	return ok && placer == l.self && l.stream.Ready()
}

// ConnectedSince returns the start of the present state if records can be read and written. A change between connected
// and relayed counts as a break, which only makes a wait longer.
func (l *links) ConnectedSince() (time.Time, bool) {
	view := l.Connectivity()
	return view.Since, view.State == member.Connected || view.State == member.Relayed
}

// Isolated reports whether no instance of the data centre was heard from for the isolation limit.
func (l *links) Isolated(dc model.DataCentreID) bool {
	return l.clock.Since(l.Contact(dc)) >= l.isolation
}

// FreshAt returns a time up to which the fold holds every record.
func (l *links) FreshAt() time.Time { return l.stream.Freshness() }

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
