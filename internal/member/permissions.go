package member

import "time"

// The methods below are the table of section 7 of the design page: what an instance may do in each connectivity state.
// No other code decides on the connectivity state itself.

// Connectivity returns the connectivity state and since when it holds.
func (s *Service) Connectivity() Connectivity {
	status := s.cfg.Stream.Status()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.observe(status)
}

// MayAppend is the row "accept job, cancel, change": append while connected or relayed, else refuse "not run" at once.
func (s *Service) MayAppend() bool {
	return s.Connectivity().hasLog()
}

// MayPull is the row "pull from open queue": append while connected or relayed, refuse during an outage, and refuse
// after the grace period while cut off.
func (s *Service) MayPull() bool {
	view := s.Connectivity()
	return view.hasLog() || (view.State == CutOff && s.inGrace(view))
}

// MayCheckKeys is the row "requests on open classes": check the key, but refuse "not run" after the grace period while
// cut off, because a withdrawn key must stop working within seconds.
func (s *Service) MayCheckKeys() bool { return s.mayUseState(s.Connectivity()) }

// MayStart is the row "start bound tasks": start, but not after the grace period while cut off, because operators may
// have taken the data centre out of service.
func (s *Service) MayStart() bool { return s.mayUseState(s.Connectivity()) }

// MayRenew is the row "running tasks": renew, but while cut off only up to the isolation limit, because other data
// centres may count the workers as lost then. A holder whose log is unreachable and that hears from no other member of
// its own data centre, though the log records some, stops as well: the others may suspect its workers.
func (s *Service) MayRenew() bool {
	view := s.Connectivity()
	if view.hasLog() {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Table.cfg.Clock.Now()
	if s.alone(now) {
		return false
	}
	return view.State == Outage || (!s.current.IsZero() && now.Sub(view.Since) < s.Table.cfg.IsolationLimit)
}

// OutageProof returns the latest time for which it is proved that nobody could append to the log and that no peer had
// folded more than this instance; zero unless the state is outage.
func (s *Service) OutageProof() time.Time {
	if s.Connectivity().State != Outage {
		return time.Time{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// LocalOnly is the row "requests on classes without keys": serve, but by local endpoints only while cut off.
func (s *Service) LocalOnly() bool { return s.Connectivity().State == CutOff }

// mayUseState reports whether decisions may be based on the folded state.
func (s *Service) mayUseState(view Connectivity) bool {
	return view.State != CutOff || s.inGrace(view)
}

// inGrace reports whether the grace period of the cut-off state has not ended; an instance that never had the newest
// state has none.
func (s *Service) inGrace(view Connectivity) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.current.IsZero() && s.Table.cfg.Clock.Since(view.Since) < s.Table.cfg.Grace
}

func (c Connectivity) hasLog() bool { return c.State == Connected || c.State == Relayed }

// Age returns how long the state has held at the given time.
func (c Connectivity) Age(now time.Time) time.Duration { return now.Sub(c.Since) }
