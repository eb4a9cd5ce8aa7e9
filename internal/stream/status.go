package stream

import (
	"time"

	"arbutuswing.example/internal/model"
)

// Status tells how current the folded state is.
type Status struct {
	// Direct is the start of the last read of the log itself that reached the log's end; zero before the first.
	Direct time.Time `json:"direct"`
	// Relayed is the same for reads through a peer.
	Relayed time.Time `json:"relayed"`
	// Steady is when the present period of fresh reads began: none of them was followed by more than the freshness
	// bound without another.
	Steady time.Time `json:"steady"`
	// Applied is the offset of the last envelope folded, or model.NoOffset.
	Applied model.Offset `json:"applied"`
	// Restored is the offset of the last snapshot restored, or model.NoOffset; observers that have not taken an update
	// from there on know an older state than the fold's.
	Restored model.Offset `json:"restored"`
	// Ready is set once the instance has had the newest state that it could get.
	Ready bool `json:"ready"`
	// Halted holds the reason why folding stopped for good, or nothing.
	Halted string `json:"halted,omitempty"`
}

// Fresh returns the later of Direct and Relayed.
func (s Status) Fresh() time.Time {
	if s.Relayed.After(s.Direct) {
		return s.Relayed
	}
	return s.Direct
}

// Status returns the current status.
func (s *Stream) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status
}

// Freshness returns the time up to which the folded state is known to be the log's newest, zero before it was known.
// It is the start of a read, not its end, so that a pause of the process cannot make an old answer look fresh.
func (s *Stream) Freshness() time.Time { return s.Status().Fresh() }

// Ready reports whether the instance has the newest state that it could get and is able to fold.
func (s *Stream) Ready() bool {
	status := s.Status()
	return status.Ready && status.Halted == ""
}

func (s *Stream) setApplied(offset model.Offset) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status.Applied = offset
}

func (s *Stream) setRestored(offset model.Offset) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status.Applied, s.status.Restored = offset, offset
}

// setFresh records that a read that began at the given time reached the log's end.
func (s *Stream) setFresh(via route, began time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Clock.Now()
	if now.Sub(s.status.Fresh()) >= s.cfg.FreshBound {
		s.status.Steady = now
	}
	field := &s.status.Direct
	if via == routeRelay {
		field = &s.status.Relayed
	}
	if began.After(*field) {
		*field = began
	}
	s.status.Ready = true
}

func (s *Stream) setReady() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status.Ready = true
}

func (s *Stream) setOutage(outage bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = outage
}

func (s *Stream) inOutage() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outage
}

func (s *Stream) setFlight(f *flight) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight = f
}

// takeFlight removes and returns the envelope in flight if it has the sequence number.
func (s *Stream) takeFlight(sequence int64) *flight {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight == nil || s.inFlight.sequence != sequence {
		return nil
	}
	taken := s.inFlight
	s.inFlight = nil
	return taken
}

// dropFlight removes the envelope in flight; it returns false if it landed meanwhile.
func (s *Stream) dropFlight(f *flight) bool { return s.takeFlight(f.sequence) != nil }

// repeatFlight makes the writer append the envelope in flight again at once.
func (s *Stream) repeatFlight() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight == nil {
		return
	}
	select {
	case s.inFlight.repeat <- struct{}{}:
	default:
	}
}
