package member

import "time"

// The methods below implement the table in section 7 of the design page: what an instance may do in each connectivity
// state. Other code calls these methods instead of basing decisions on the connectivity state itself.

// Connectivity evaluates the connectivity state, and returns it with the time since which it has held.
func (s *Service) Connectivity() Connectivity {
	status := s.cfg.Stream.Status()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evaluateConnectivity(status)
}

// MayAppend implements the row "accept job, cancel, change": append while connected or relayed, otherwise refuse with
// "not run" at once.
func (s *Service) MayAppend() bool {
	return s.Connectivity().hasLog()
}

// MayPull implements the row "pull from open queue": append while connected or relayed; refuse during an outage, and
// while cut off after the grace period.
func (s *Service) MayPull() bool {
	connectivity := s.Connectivity()
	return connectivity.hasLog() || (connectivity.State == CutOff && s.inGrace(connectivity))
}

// MayCheckKeys implements the row "requests on open classes": check the key, but refuse with "not run" while cut off
// after the grace period, because a withdrawn key must become invalid within seconds.
func (s *Service) MayCheckKeys() bool { return s.mayUseState(s.Connectivity()) }

// MayStart implements the row "start bound tasks": start them, but not while cut off after the grace period, because
// operators may have taken the data centre out of service.
func (s *Service) MayStart() bool { return s.mayUseState(s.Connectivity()) }

// MayRenew implements the row "running tasks": renew their leases, but while cut off only up to the isolation limit,
// after which other data centres may count the workers as lost. An instance that cannot reach the log must also stop
// renewing if the log records other members of its data centre and none of them answers, because they may suspect its
// workers.
func (s *Service) MayRenew() bool {
	connectivity := s.Connectivity()
	if connectivity.hasLog() {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Table.cfg.Clock.Now()
	if s.neighboursSilent(now) {
		return false
	}
	return connectivity.State == Outage || (!s.currentAt.IsZero() && now.Sub(connectivity.Since) < s.Table.cfg.IsolationLimit)
}

// OutageConfirmedAt returns the latest time at which it is proved that no instance could append to the log and that no
// peer had applied more records than this instance. It returns zero unless the state is Outage.
func (s *Service) OutageConfirmedAt() time.Time {
	if s.Connectivity().State != Outage {
		return time.Time{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.currentAt
}

// LocalOnly implements the row "requests on classes without keys": serve them, but while cut off only by local
// endpoints.
func (s *Service) LocalOnly() bool { return s.Connectivity().State == CutOff }

// mayUseState reports whether decisions may be based on the state machine.
func (s *Service) mayUseState(connectivity Connectivity) bool {
	return connectivity.State != CutOff || s.inGrace(connectivity)
}

// inGrace reports whether the grace period of the cut-off state is still running; there is none for an instance whose
// state was never known to be up to date.
func (s *Service) inGrace(connectivity Connectivity) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.currentAt.IsZero() && s.Table.cfg.Clock.Since(connectivity.Since) < s.Table.cfg.Grace
}

func (c Connectivity) hasLog() bool { return c.State == Connected || c.State == Relayed }

// Age returns how long the state has held at time now.
func (c Connectivity) Age(now time.Time) time.Duration { return now.Sub(c.Since) }
