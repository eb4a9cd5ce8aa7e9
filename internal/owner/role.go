package owner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"arbutuswing.example/internal/ledger"
	"arbutuswing.example/internal/peers"
)

// emptyGroupDelay is how long the group must be without members before a node that the owner didn't choose becomes a
// candidate. Stronger nodes that were restarted at the same time are back by then.
const emptyGroupDelay = 2 * time.Second

// role tells whether a node is a candidate, which may own jobs.
type role int

const (
	// roleUnknown: no owner has answered a report yet.
	roleUnknown role = iota
	roleCandidate
	roleStandby
)

// Candidate reports whether this node may own jobs.
func (d *Directory) Candidate() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.role == roleCandidate
}

// StandBy puts the node on standby because stronger nodes exist.
func (d *Directory) StandBy() { d.setRole(roleStandby, "stronger nodes report") }

func (d *Directory) setRole(r role, reason string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r == d.role {
		return
	}
	d.role, d.emptySince = r, time.Time{}
	d.cfg.Log.Info("candidacy", zap.Bool("candidate", r == roleCandidate), zap.String("reason", reason))
}

// report tells the owner that this node is alive and sets the node's role by the owner's answer. It returns the time until
// the next report.
func (d *Directory) report(ctx context.Context) (time.Duration, error) {
	owner := d.current()
	if owner == memberOf(d.cfg.Self) {
		return minReportInterval, nil
	}
	if owner.Address == "" {
		return retryInterval, peers.ErrNotOwner
	}
	reply, err := d.cfg.Client.Report(ctx, owner.Address, d.cfg.Self)
	d.noteAnswer(owner, err == nil)
	if err != nil {
		return retryInterval, err
	}
	if reply.Candidate {
		d.setRole(roleCandidate, "chosen by "+owner.Node)
	} else {
		d.setRole(roleStandby, "not chosen by "+owner.Node)
	}
	return reply.ReportInterval.Std(), nil
}

// decideRole sets the role of this node while no owner answers. A node without a role becomes a candidate if the recorded
// owner is gone, unless that owner was much stronger: then it goes on standby. A node on standby becomes a candidate once
// the group has been without members for emptyGroupDelay.
func (d *Directory) decideRole(records ownerRecords, holders []ledger.Holder, now time.Time) {
	d.mu.Lock()
	current := d.role
	if current == roleUnknown && d.cfg.Self.Strength < minStrengthRatio*records.strength {
		current, d.role = roleStandby, roleStandby
	}
	if len(holders) > 0 {
		d.emptySince = time.Time{}
	} else if d.emptySince.IsZero() {
		d.emptySince = now
	}
	groupAbandoned := !d.emptySince.IsZero() && now.Sub(d.emptySince) >= emptyGroupDelay
	d.mu.Unlock()
	switch {
	case current == roleUnknown && !records.claimantPresent(holders):
		d.setRole(roleCandidate, "no owner")
	case current == roleStandby && groupAbandoned:
		d.setRole(roleCandidate, "no candidate is left")
	}
}
