package owner

import "time"

// permission tells whether an owner may renew leases and send starts. A new owner assumes that its predecessor stops
// at the limit after the takeover, so the permission counts from the begin of a call whose answer proves that there was no
// newer owner. Times are those of Config.Uptime: the monotonic clock would extend the permission by the time for which the machine
// was suspended.
type permission struct {
	limit time.Duration
	// epoch is the generation of the group at which this node took over.
	epoch int64
	// provedAt is when the last call began that proved the ownership, if proved is set.
	provedAt time.Duration
	proved   bool
}

// noteAppend notes that an append under the ownership's epoch, begun at the given time, was accepted.
func (p *permission) noteAppend(begun time.Duration) {
	if !p.proved || begun > p.provedAt {
		p.provedAt, p.proved = begun, true
	}
}

// noteRenewal notes that a renewal of the membership, begun at the given time, was answered with a generation of the group. It
// proves the ownership if the group is that of the takeover, because each takeover has a generation of its own. In a group that
// has changed, another member may have looked for the owner before this one was recorded.
func (p *permission) noteRenewal(generation int64, begun time.Duration) {
	if generation == p.epoch {
		p.noteAppend(begun)
	}
}

func (p *permission) valid(now time.Duration) bool { return p.proved && now-p.provedAt < p.limit }

// needsProof reports whether the ownership has to be proved by an append, because nothing else has proved it for half of
// the limit.
func (p *permission) needsProof(now time.Duration) bool {
	return !p.proved || now-p.provedAt >= p.limit/2
}
