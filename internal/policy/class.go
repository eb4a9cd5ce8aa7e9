package policy

import (
	"time"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
)

// Band is a priority band: work of one band is ordered by the same rule.
type Band int

// Bands, from the highest priority to the lowest.
const (
	// Urgent work must start, or be answered, within a time from its arrival. It goes before all other work.
	Urgent Band = iota
	// Due work must be done by a time of day. It goes before best-effort work once little slack is left.
	Due
	// BestEffort work has no deadline and may be preempted.
	BestEffort
)

// String returns the band's name in metrics and dumps.
func (b Band) String() string {
	switch b {
	case Urgent:
		return "urgent"
	case Due:
		return "due"
	default:
		return "patient"
	}
}

// noDeadline is the deadline of work without one; it sorts after every other deadline.
var noDeadline = time.Unix(1<<40, 0)

// Classes holds the targets of the declared classes of work; it is immutable.
type Classes struct {
	byName map[model.ClassID]decl.Class
}

// NewClasses returns the classes of a set of declarations.
func NewClasses(set decl.Set) Classes {
	c := Classes{byName: make(map[model.ClassID]decl.Class, len(set.Classes))}
	for _, class := range set.Classes {
		c.byName[class.Name] = class
	}
	return c
}

// Band returns the band of a class; work of an undeclared class is best effort.
func (c Classes) Band(class model.ClassID) Band {
	target := c.byName[class].Target
	switch {
	case target.StartedWithin > 0 || target.AnsweredWithin > 0:
		return Urgent
	case target.DoneBy != nil:
		return Due
	default:
		return BestEffort
	}
}

// Deadline returns the deadline of work of the class that was queued at queued: the time by which urgent work must have
// started and due work must be done. Other work has a deadline in the far future.
func (c Classes) Deadline(class model.ClassID, queued time.Time) time.Time {
	target := c.byName[class].Target
	switch {
	case target.StartedWithin > 0:
		return queued.Add(target.StartedWithin.Std())
	case target.AnsweredWithin > 0:
		return queued.Add(target.AnsweredWithin.Std())
	case target.DoneBy != nil:
		return nextTime(*target.DoneBy, queued)
	default:
		return noDeadline
	}
}

// nextTime returns the first instant after queued at which it is the given time of day in the given time zone. A time of
// day that daylight saving skips is normalised as time.Date does.
func nextTime(by decl.DoneBy, queued time.Time) time.Time {
	zone, err := time.LoadLocation(by.Zone)
	if err != nil {
		return noDeadline
	}
	clock, err := time.Parse("15:04", by.Time)
	if err != nil {
		return noDeadline
	}
	local := queued.In(zone)
	for day := 0; ; day++ {
		at := time.Date(local.Year(), local.Month(), local.Day()+day, clock.Hour(), clock.Minute(), 0, 0, zone)
		if at.After(queued) {
			return at
		}
	}
}
