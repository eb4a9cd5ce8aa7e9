package owner

import "time"

// permission tells whether an owner may renew leases and send starts. A new owner assumes that its predecessor stops
// at the limit after the takeover, so the permission counts from the begin of a call whose answer proves that there was no
// newer owner.
type permission struct {
	limit time.Duration
	// ttl is how long a member that doesn't renew its membership stays in the group.
	ttl time.Duration
	// provedAt is when the last call began that proved the ownership, or zero.
	provedAt time.Time
	// renewedAt is when the last renewal of the membership began, and generation that of the group in its answer.
	renewedAt  time.Time
	generation int64
	// lapsed tells that the membership may have lapsed. A takeover that began then may end at any time later, though this node
	// is a member again, so only appends prove the ownership from then on.
	lapsed bool
}

// noteAppend notes that an append under the ownership's epoch, begun at the given time, was accepted.
func (p *permission) noteAppend(begun time.Time) {
	if begun.After(p.provedAt) {
		p.provedAt = begun
	}
}

// noteRenewal notes that a renewal of the membership, begun at the given time, was answered now. It proves the ownership if
// the membership has not lapsed since the takeover, because nobody takes over from a member. The membership has not lapsed
// if the group is unchanged, or if the renewal before began at most the TTL ago.
func (p *permission) noteRenewal(generation int64, begun, now time.Time) {
	p.lapsed = p.lapsed || (generation != p.generation && now.Sub(p.renewedAt) > p.ttl)
	p.generation, p.renewedAt = generation, begun
	if !p.lapsed {
		p.noteAppend(begun)
	}
}

func (p *permission) valid(now time.Time) bool { return now.Sub(p.provedAt) < p.limit }

// needsProof reports whether the ownership has to be proved by an append, because nothing else has proved it for half of
// the limit.
func (p *permission) needsProof(now time.Time) bool { return now.Sub(p.provedAt) >= p.limit/2 }
