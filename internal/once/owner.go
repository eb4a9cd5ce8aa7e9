package once

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"arbutuswing.example/internal/model"
)

// Member is an entry instance that may own request IDs.
type Member struct {
	Instance    model.InstanceID
	Incarnation model.Incarnation
	// PeerAddress is host:port.
	PeerAddress string
}

// Membership is the set of members recorded in the log up to an offset.
type Membership struct {
	Offset  model.Offset
	Members []Member
}

// Owner returns the member that owns a request ID chosen by a caller: the highest in rendezvous hashing order.
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

// Find returns the member of an instance.
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

// rendezvousScore hashes the incarnation too: a restarted instance has lost its table and must not count as the
// same owner.
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

// Epoch is a membership with the time for which it has been replaced.
type Epoch struct {
	Membership Membership
	// Replaced is when a later membership took its place; zero for the current one.
	Replaced time.Time
}

// history remembers the memberships of the last retention time, to tell which earlier owners may have seen an ID.
type history struct {
	self      Member
	retention time.Duration

	mu     sync.RWMutex
	epochs []Epoch
	// knownSince is the time from which on every membership is in epochs.
	knownSince time.Time
	// first is set when no membership precedes the oldest epoch, so that nothing can have run before it.
	first bool
	// handed names the members whose entries have been merged. While both live, no ID moves between two members in
	// rendezvous hashing, so this covers all IDs that came from a member that is still recorded; the IDs of a member
	// that left are lost with it.
	handed map[Member]bool
}

func newHistory(self Member, retention time.Duration, now time.Time) *history {
	return &history{self: self, retention: retention, knownSince: now, handed: make(map[Member]bool)}
}

// advance makes m the current membership; it reports false if m is not newer.
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

func (h *history) prune(now time.Time) {
	keep := h.epochs[:0]
	for i, e := range h.epochs {
		if i == len(h.epochs)-1 || now.Sub(e.Replaced) < h.retention {
			keep = append(keep, e)
		}
	}
	h.epochs = keep
}

// adopt merges the epochs that another member remembers and records that its entries have been handed over.
func (h *history) adopt(from Member, older []Epoch, knownSince time.Time, first bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.handed[from] = true
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

// awaited returns the live members that have not handed over yet.
func (h *history) awaited() []Member {
	h.mu.RLock()
	defer h.mu.RUnlock()
	var out []Member
	for _, member := range h.membership().Members {
		if member != h.self && !h.handed[member] {
			out = append(out, member)
		}
	}
	return out
}

// export returns a copy of the epochs and what precedes them.
func (h *history) export() ([]Epoch, time.Time, bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return append([]Epoch(nil), h.epochs...), h.knownSince, h.first
}

// current returns the current membership.
func (h *history) current() Membership {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.membership()
}

func (h *history) membership() Membership {
	if len(h.epochs) == 0 {
		return Membership{Offset: model.NoOffset}
	}
	return h.epochs[len(h.epochs)-1].Membership
}

// unseen returns what to say about an ID that the table doesn't hold: StatusGranted only when no earlier owner of the
// last retention time can have seen it without having handed its entry over.
func (h *history) unseen(id string, now time.Time) Status {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if !h.first && now.Sub(h.knownSince) < h.retention {
		return StatusUnknown
	}
	current := h.membership()
	for _, e := range h.epochs {
		if !e.Replaced.IsZero() && now.Sub(e.Replaced) >= h.retention {
			continue
		}
		owner, ok := e.Membership.Owner(id)
		covered := owner == h.self || (h.handed[owner] && current.has(owner))
		if ok && !covered {
			return StatusUnknown
		}
	}
	return StatusGranted
}
