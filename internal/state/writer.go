package state

import (
	"maps"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/record"
)

// writers holds the last sequence number of each writer of the log. Only Apply, Snapshot and Restore use it.
type writers struct {
	rows map[model.InstanceID]writer
}

type writer struct {
	Incarnation model.Incarnation `json:"incarnation"`
	Sequence    int64             `json:"sequence"`
	// Time is the log time of the writer's last envelope, in nanoseconds since 1970.
	Time int64 `json:"time"`
}

func newWriters() *writers { return &writers{rows: make(map[model.InstanceID]writer)} }

// admit reports whether the envelope is new, and records its sequence number. Envelopes of an older incarnation count
// as duplicates: no process waits for them any more, and only the latest incarnation's sequence number is kept.
func (w *writers) admit(env record.Envelope, clock int64) bool {
	last, known := w.rows[env.Writer]
	if known && env.Incarnation < last.Incarnation {
		return false
	}
	if known && env.Incarnation == last.Incarnation && env.Sequence <= last.Sequence {
		return false
	}
	w.rows[env.Writer] = writer{Incarnation: env.Incarnation, Sequence: env.Sequence, Time: clock}
	return true
}

// prune forgets writers that are not members and have written nothing since the time.
func (w *writers) prune(before int64, members *members) {
	maps.DeleteFunc(w.rows, func(id model.InstanceID, last writer) bool {
		_, member := members.rows[id]
		return !member && last.Time < before
	})
}
