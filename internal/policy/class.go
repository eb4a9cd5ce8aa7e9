package policy

import (
	"time"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
)

// Band is a part of the order of work.
type Band int

// Bands, from the first in the order to the last.
const (
	// Urgent work has a time within which it must start.
	Urgent Band = iota
	// Due work has a time by which it must be done.
	Due
	// BestEffort work has no deadline and gives way to other work.
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

// noDeadline sorts after every deadline.
var noDeadline = time.Unix(1<<40, 0)

// Classes tells the targets of classes of work; it is never modified once built.
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

// Band returns the band of a class; undeclared classes are patient.
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

// Deadline returns the time at which work of the class that was queued at queued must have started, for urgent work,
// or be done, for due work.
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

// nextTime returns the first time of day after queued; a time that the zone's clock change skips moves as package time
// normalises it.
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
