package stream

import (
	"time"

	"arbutuswing.example/internal/model"
)

// Status describes how current the state is.
type Status struct {
	// LastDirectRead is when the last direct read that reached the end of the log began; zero before the first.
	LastDirectRead time.Time `json:"direct"`
	// LastRelayedRead is the same for reads through a peer.
	LastRelayedRead time.Time `json:"relayed"`
	// FreshSince is when the current period began in which the state has always been fresh: no two reads in a row were
	// further apart than Config.FreshBound.
	FreshSince time.Time `json:"steady"`
	// Applied is the offset of the last envelope applied, or model.NoOffset.
	Applied model.Offset `json:"applied"`
	// Restored is the offset of the last snapshot restored, or model.NoOffset; subscribers that have not processed an
	// update at or after it have an older state than the state machine.
	Restored model.Offset `json:"restored"`
	// Ready is set once the instance has applied the log to its end or has the newest state of its peers.
	Ready bool `json:"ready"`
	// HaltReason is the reason why the stream stopped applying records for good, or empty.
	HaltReason string `json:"halted,omitempty"`
}

// LastRead returns the later of LastDirectRead and LastRelayedRead.
func (s Status) LastRead() time.Time {
	if s.LastRelayedRead.After(s.LastDirectRead) {
		return s.LastRelayedRead
	}
	return s.LastDirectRead
}

// Status returns the current status.
func (s *Stream) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status
}

// Freshness returns the time as of which the state is known to contain the whole log, zero if it never was. It is the
// start of a read, not its end, so that an answer received before the process was paused cannot look fresh after the
// pause.
func (s *Stream) Freshness() time.Time { return s.Status().LastRead() }

// Ready reports whether the instance is ready (Status.Ready) and has not halted.
func (s *Stream) Ready() bool {
	status := s.Status()
	return status.Ready && status.HaltReason == ""
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

// setFresh registers that a read that began at the given time reached the end of the log.
func (s *Stream) setFresh(via readPath, began time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Clock.Now()
	if now.Sub(s.status.LastRead()) >= s.cfg.FreshBound {
		s.status.FreshSince = now
	}
	field := &s.status.LastDirectRead
	if via == pathRelay {
		field = &s.status.LastRelayedRead
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

func (s *Stream) setInFlight(envelope *pendingEnvelope) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight = envelope
}

// takeInFlight removes and returns the envelope in flight, or returns nil if none with the sequence number is in
// flight.
func (s *Stream) takeInFlight(sequence int64) *pendingEnvelope {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight == nil || s.inFlight.sequence != sequence {
		return nil
	}
	taken := s.inFlight
	s.inFlight = nil
	return taken
}

// dropInFlight removes the envelope in flight; it returns false if the envelope was read back meanwhile.
func (s *Stream) dropInFlight(p *pendingEnvelope) bool { return s.takeInFlight(p.sequence) != nil }

// repeatInFlight makes the writer append the envelope in flight again at once.
func (s *Stream) repeatInFlight() {
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
