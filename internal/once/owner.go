package once

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"arbutuswing.example/internal/model"
)

// Member is one incarnation of an entry instance that may own request IDs.
type Member struct {
	Instance    model.InstanceID
	Incarnation model.Incarnation
	// PeerAddress is host:port.
	PeerAddress string
}

// Membership is the set of members after the membership change at Offset in the log.
type Membership struct {
	Offset  model.Offset
	Members []Member
}

// Owner returns the member that owns a request ID chosen by a client, which is the one with the highest rendezvous
// hash. It returns false if there are no members.
func (m Membership) Owner(id string) (Member, bool) {
	var best Member
	var bestScore uint64
	for i, member := range m.Members {
		score := rendezvousScore(id, member)
		if i == 0 || score > bestScore {
			best, bestScore = member, score
		}
	}
	return best, len(m.Members) > 0
}

// Find returns the member with the given instance ID; it returns false if there is none.
func (m Membership) Find(instance model.InstanceID) (Member, bool) {
	for _, member := range m.Members {
		if member.Instance == instance {
			return member, true
		}
	}
	return Member{}, false
}

func (m Membership) has(member Member) bool {
	found, ok := m.Find(member.Instance)
	return ok && found == member
}

// rendezvousScore includes the incarnation in the hash, because a restarted instance has lost its table and so must
// count as a different owner.
func rendezvousScore(id string, member Member) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(id)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(string(member.Instance))
	var incarnation [8]byte
	for i := range incarnation {
		incarnation[i] = byte(member.Incarnation >> (8 * i))
	}
	_, _ = digest.Write(incarnation[:])
	return digest.Sum64()
}

// Epoch is a membership and the time at which it was replaced.
type Epoch struct {
	Membership Membership
	// Replaced is when a later membership replaced this one; zero for the current one.
	Replaced time.Time
}

// history holds the memberships that were current within the retention time. They show which earlier owners may have
// granted a claim for an ID.
type history struct {
	self      Member
	retention time.Duration

	mu     sync.RWMutex
	epochs []Epoch
	// knownSince is the time since which epochs is complete.
	knownSince time.Time
	// first is set if no membership preceded the oldest epoch, so that no request can have run before it.
	first bool
	// handedOver holds the members whose entries have been merged. One handoff from a member covers all of its IDs
	// while it stays recorded: in rendezvous hashing, IDs never move between two members that both stay. The entries of
	// a member that left are lost.
	handedOver map[Member]bool
}

func newHistory(self Member, retention time.Duration, now time.Time) *history {
	return &history{self: self, retention: retention, knownSince: now, handedOver: make(map[Member]bool)}
}

// advance makes m the current membership; it returns false if m is not newer than the current one.
func (h *history) advance(m Membership, first bool, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if n := len(h.epochs); n > 0 {
		if m.Offset <= h.epochs[n-1].Membership.Offset {
			return false
		}
		h.epochs[n-1].Replaced = now
	} else {
		h.first = first
	}
	h.epochs = append(h.epochs, Epoch{Membership: m})
	h.prune(now)
	return true
}

// prune removes replaced memberships older than the retention time; the caller holds the lock.
func (h *history) prune(now time.Time) {
	keep := h.epochs[:0]
	for i, e := range h.epochs {
		if i == len(h.epochs)-1 || now.Sub(e.Replaced) < h.retention {
			keep = append(keep, e)
		}
	}
	h.epochs = keep
}

// mergeHandoff merges the epochs of another member and records that its entries have been handed over.
func (h *history) mergeHandoff(from Member, older []Epoch, knownSince time.Time, first bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.handedOver[from] = true
	known := make(map[model.Offset]bool, len(h.epochs))
	for _, e := range h.epochs {
		known[e.Membership.Offset] = true
	}
	var added []Epoch
	for _, e := range older {
		if !known[e.Membership.Offset] && !e.Replaced.IsZero() {
			added = append(added, e)
		}
	}
	h.epochs = append(added, h.epochs...)
	if knownSince.Before(h.knownSince) {
		h.knownSince = knownSince
	}
	h.first = h.first || first
}

// membersToCollect returns the current members, other than this one, that have not handed over their entries yet.
func (h *history) membersToCollect() []Member {
	h.mu.RLock()
	defer h.mu.RUnlock()
	var out []Member
	for _, member := range h.currentLocked().Members {
		if member != h.self && !h.handedOver[member] {
			out = append(out, member)
		}
	}
	return out
}

// export returns a copy of the epochs, since when they are complete, and whether the oldest is the first ever.
func (h *history) export() ([]Epoch, time.Time, bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return append([]Epoch(nil), h.epochs...), h.knownSince, h.first
}

// current returns the current membership, with model.NoOffset if none is known yet.
func (h *history) current() Membership {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.currentLocked()
}

// currentLocked is current for callers that hold the lock.
func (h *history) currentLocked() Membership {
	if len(h.epochs) == 0 {
		return Membership{Offset: model.NoOffset}
	}
	return h.epochs[len(h.epochs)-1].Membership
}

// statusOfMissing returns the status of an ID without an entry in the table: StatusGranted if every owner of the ID
// within the retention time was this member or a current member that has handed over its entries, else StatusUnknown.
func (h *history) statusOfMissing(id string, now time.Time) Status {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if !h.first && now.Sub(h.knownSince) < h.retention {
		return StatusUnknown
	}
	current := h.currentLocked()
	for _, e := range h.epochs {
		if !e.Replaced.IsZero() && now.Sub(e.Replaced) >= h.retention {
			continue
		}
		owner, ok := e.Membership.Owner(id)
		covered := owner == h.self || (h.handedOver[owner] && current.has(owner))
		if ok && !covered {
			return StatusUnknown
		}
	}
	return StatusGranted
}
