package owner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"arbutuswing.example/internal/ledger"
	"arbutuswing.example/internal/peers"
)

// standbyWait is how long a node that the owner didn't choose waits, while nobody is left who may own jobs, before it
// becomes a candidate: stronger nodes that were restarted with the others are back by then.
const standbyWait = 2 * time.Second

// standing tells whether a node may own jobs.
type standing int

const (
	// standingUnknown: no owner has told yet.
	standingUnknown standing = iota
	standingCandidate
	standingStandby
)

// Candidate reports whether this node may own jobs.
func (d *Directory) Candidate() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.standing == standingCandidate
}

// StandBy makes the node no candidate, because others are stronger.
func (d *Directory) StandBy() { d.setStanding(standingStandby, "stronger nodes report") }

func (d *Directory) setStanding(s standing, why string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s == d.standing {
		return
	}
	d.standing, d.emptySince = s, time.Time{}
	d.cfg.Log.Info("candidacy", zap.Bool("candidate", s == standingCandidate), zap.String("reason", why))
}

// report tells the owner that this node is there; it returns the interval until the next report.
func (d *Directory) report(ctx context.Context) (time.Duration, error) {
	owner := d.current()
	if owner == memberOf(d.cfg.Self) {
		return reportEvery, nil
	}
	if owner.Address == "" {
		return directoryRetry, peers.ErrNotOwner
	}
	told, err := d.cfg.Client.Report(ctx, owner.Address, d.cfg.Self)
	d.answered(owner, err == nil)
	if err != nil {
		return directoryRetry, err
	}
	if told.Candidate {
		d.setStanding(standingCandidate, "chosen by "+owner.Node)
	} else {
		d.setStanding(standingStandby, "not chosen by "+owner.Node)
	}
	return told.ReportInterval.Std(), nil
}

// judge decides on the candidacy while no owner answers. A node that has just started becomes a candidate if the recorded
// owner is gone, unless that was much stronger. One that stands by does so once nobody is left who could take over.
func (d *Directory) judge(records ownerRecords, holders []ledger.Holder, now time.Time) {
	d.mu.Lock()
	known := d.standing
	if known == standingUnknown && d.cfg.Self.Strength < muchWeaker*records.strength {
		known, d.standing = standingStandby, standingStandby
	}
	if len(holders) > 0 {
		d.emptySince = time.Time{}
	} else if d.emptySince.IsZero() {
		d.emptySince = now
	}
	deserted := !d.emptySince.IsZero() && now.Sub(d.emptySince) >= standbyWait
	d.mu.Unlock()
	switch {
	case known == standingUnknown && !records.held(holders):
		d.setStanding(standingCandidate, "no owner")
	case known == standingStandby && deserted:
		d.setStanding(standingCandidate, "no candidate is left")
	}
}
