package peer

import (
	"context"
	"time"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/once"
	"arbutuswing.example/internal/peerpb"
)

// claimStatuses maps statuses to their values on the wire. StatusUnknown is missing, because it stands for all others.
var claimStatuses = []struct {
	status once.Status
	wire   peerpb.ClaimStatus
}{
	{once.StatusGranted, peerpb.ClaimStatus_CLAIM_STATUS_GRANTED},
	{once.StatusRunning, peerpb.ClaimStatus_CLAIM_STATUS_RUNNING},
	{once.StatusAnswered, peerpb.ClaimStatus_CLAIM_STATUS_ANSWERED},
	{once.StatusMoved, peerpb.ClaimStatus_CLAIM_STATUS_MOVED},
	{once.StatusFull, peerpb.ClaimStatus_CLAIM_STATUS_FULL},
}

func statusToClaim(status once.Status) peerpb.ClaimStatus {
	for _, mapping := range claimStatuses {
		if mapping.status == status {
			return mapping.wire
		}
	}
	return peerpb.ClaimStatus_CLAIM_STATUS_UNKNOWN
}

// statusFromClaim maps statuses of newer versions to StatusUnknown, with which a request never runs twice.
func statusFromClaim(wire peerpb.ClaimStatus) once.Status {
	for _, mapping := range claimStatuses {
		if mapping.wire == wire {
			return mapping.status
		}
	}
	return once.StatusUnknown
}

// Claim asks the owner of a request ID for the right to run its request; after ErrUnreachable the claim may have been
// granted.
func (c *Client) Claim(ctx context.Context, to once.Member, req once.ClaimRequest) (once.Status, error) {
	wire := &peerpb.ClaimRequest{RequestId: req.ID, Claimant: req.Claimant, Membership: int64(req.Offset)}
	out, err := call(ctx, c, "Claim", to.PeerAddress, c.cfg.CallTimeout, wire, peerpb.Peer.Claim)
	if err != nil {
		return once.StatusUnknown, err
	}
	return statusFromClaim(out.GetStatus()), nil
}

// Settle tells the owner of a request ID how its request ended; it may be called again after an error.
func (c *Client) Settle(ctx context.Context, to once.Member, req once.SettleRequest) error {
	wire := &peerpb.SettleRequest{RequestId: req.ID, Claimant: req.Claimant, Ran: req.Ran, Answered: req.Answered}
	_, err := call(ctx, c, "Settle", to.PeerAddress, c.cfg.CallTimeout, wire, peerpb.Peer.Settle)
	return err
}

// Handoff asks a member for its entries of the request IDs that self owns under the membership at offset, and for its
// membership history.
func (c *Client) Handoff(
	ctx context.Context, from, self once.Member, offset model.Offset,
) (once.Handoff, error) {
	wire := &peerpb.HandoffRequest{Member: memberToWire(self), Membership: int64(offset)}
	out, err := call(ctx, c, "Handoff", from.PeerAddress, c.cfg.CallTimeout, wire, peerpb.Peer.Handoff)
	if err != nil {
		return once.Handoff{}, err
	}
	return handoffFromWire(out, c.cfg.Clock.Now()), nil
}

func (s rpcHandler) Claim(_ context.Context, req *peerpb.ClaimRequest) (*peerpb.ClaimResponse, error) {
	status := s.cfg.Requests.Decide(once.ClaimRequest{
		ID: req.GetRequestId(), Claimant: req.GetClaimant(), Offset: model.Offset(req.GetMembership()),
	})
	return &peerpb.ClaimResponse{Status: statusToClaim(status)}, nil
}

func (s rpcHandler) Settle(_ context.Context, req *peerpb.SettleRequest) (*peerpb.SettleResponse, error) {
	s.cfg.Requests.Finish(once.SettleRequest{
		ID: req.GetRequestId(), Claimant: req.GetClaimant(), Ran: req.GetRan(), Answered: req.GetAnswered(),
	})
	return &peerpb.SettleResponse{}, nil
}

func (s rpcHandler) Handoff(_ context.Context, req *peerpb.HandoffRequest) (*peerpb.HandoffResponse, error) {
	handoff, err := s.cfg.Requests.Handoff(memberFromWire(req.GetMember()), model.Offset(req.GetMembership()))
	if err != nil {
		return nil, errorToWire(err)
	}
	return handoffToWire(handoff, time.Now()), nil
}

func memberToWire(m once.Member) *peerpb.Member {
	return &peerpb.Member{
		Instance: string(m.Instance), Incarnation: int64(m.Incarnation), PeerAddress: m.PeerAddress,
	}
}

func memberFromWire(m *peerpb.Member) once.Member {
	return once.Member{
		Instance: model.InstanceID(m.GetInstance()), Incarnation: model.Incarnation(m.GetIncarnation()),
		PeerAddress: m.GetPeerAddress(),
	}
}

// handoffToWire sends expiry times as remaining durations, because the clocks of two instances differ.
func handoffToWire(h once.Handoff, now time.Time) *peerpb.HandoffResponse {
	out := &peerpb.HandoffResponse{KnownSince: int64(h.KnownSince), First: h.First}
	for _, entry := range h.Entries {
		out.Entries = append(out.Entries, &peerpb.ClaimEntry{
			RequestId: entry.ID, Status: statusToClaim(entry.Status), Claimant: entry.Claimant,
			Remaining: int64(entry.Expires.Sub(now)),
		})
	}
	for _, epoch := range h.Epochs {
		wire := &peerpb.Membership{Offset: int64(epoch.Membership.Offset)}
		for _, member := range epoch.Membership.Members {
			wire.Members = append(wire.Members, memberToWire(member))
		}
		out.Epochs = append(out.Epochs, &peerpb.MembershipEpoch{
			Membership: wire, ReplacedAgo: int64(epoch.ReplacedAgo),
		})
	}
	return out
}

// handoffFromWire converts remaining durations to expiry times by the local clock.
func handoffFromWire(h *peerpb.HandoffResponse, now time.Time) once.Handoff {
	out := once.Handoff{KnownSince: time.Duration(h.GetKnownSince()), First: h.GetFirst()}
	for _, entry := range h.GetEntries() {
		out.Entries = append(out.Entries, once.Entry{
			ID: entry.GetRequestId(), Status: statusFromClaim(entry.GetStatus()), Claimant: entry.GetClaimant(),
			Expires: now.Add(time.Duration(entry.GetRemaining())),
		})
	}
	for _, epoch := range h.GetEpochs() {
		membership := once.Membership{Offset: model.Offset(epoch.GetMembership().GetOffset())}
		for _, member := range epoch.GetMembership().GetMembers() {
			membership.Members = append(membership.Members, memberFromWire(member))
		}
		out.Epochs = append(out.Epochs, once.HandoffEpoch{
			Membership: membership, ReplacedAgo: time.Duration(epoch.GetReplacedAgo()),
		})
	}
	return out
}
