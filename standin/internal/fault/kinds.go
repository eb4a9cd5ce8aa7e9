package fault

import (
	"errors"
	"fmt"
	"time"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
)

var (
	// ErrBadFault reports a fault that can't be set.
	ErrBadFault = errors.New("bad fault")
	// ErrUnknownFault reports a fault that isn't set.
	ErrUnknownFault = errors.New("unknown fault")
)

// Kind names a fault.
type Kind string

// Kinds of faults; the comment of each names the fields of Fault that it uses.
const (
	// LogOutage refuses every call to the log; with Silent, calls get no answer.
	LogOutage Kind = "log-outage"
	// LogSlow delays every call to the log by Delay.
	LogSlow Kind = "log-slow"
	// AppendAnswerLost drops the answers of appends that took effect: of the next NextCalls, or each with Probability.
	AppendAnswerLost Kind = "append-answer-lost"
	// LogTruncate deletes the records before offset Before, once.
	LogTruncate Kind = "log-truncate"
	// ListLag sets the lag of the instance list to Delay.
	ListLag Kind = "list-lag"
	// WorkerReboot reboots Worker, which ends all its attempts; the worker is then unreachable for For.
	WorkerReboot Kind = "worker-reboot"
	// WorkerUnreachable makes Worker unreachable; its attempts go on.
	WorkerUnreachable Kind = "worker-unreachable"
	// WorkerFails makes every attempt that starts on Worker fail shortly after its start.
	WorkerFails Kind = "worker-fails"
	// WorkerAnswerLost drops the answers of commands to Worker, or to any worker if empty: of the next NextCalls, or each
	// with Probability. The commands take effect.
	WorkerAnswerLost Kind = "worker-answer-lost"
	// WorkerSlow delays commands to Worker, or to all workers if empty, by Delay. A command takes effect even if its caller
	// no longer waits, so commands arrive late and out of order.
	WorkerSlow Kind = "worker-slow"
	// Partition cuts DataCentre off from Peer: PeerPlatform for the log and the list, a data centre, or empty for all.
	Partition Kind = "partition"
	// RackPoweredOff powers off the workers of Rack, or of all racks if empty, in DataCentre: their attempts end, and they
	// are unreachable until the fault is cleared.
	RackPoweredOff Kind = "rack-gone"
	// DataCentreOutOfService tells the audit that operators have taken DataCentre out of service; starts after Grace are
	// violations.
	DataCentreOutOfService Kind = "data-centre-out"
	// TeamLimit tells the audit that Limit is the upper limit of Team; starts above it after Grace are violations.
	TeamLimit Kind = "team-limit"
)

// PeerPlatform is the Peer of a partition that cuts a data centre off only from the log and the instance list.
const PeerPlatform = "platform"

// DefaultGrace is how long after a declaration changed the audit still tolerates starts that it forbids.
const DefaultGrace = 5 * time.Second

// Fault describes one fault; the kind decides which fields are used.
type Fault struct {
	// ID is assigned by the stand-in.
	ID   int  `json:"id,omitempty"`
	Kind Kind `json:"kind"`
	// For is the time after which the fault ends by itself; zero means that it lasts until it is cleared.
	For         model.Duration     `json:"for,omitempty"`
	Silent      bool               `json:"silent,omitempty"`
	Delay       model.Duration     `json:"delay,omitempty"`
	Probability float64            `json:"probability,omitempty"`
	NextCalls   int                `json:"next,omitempty"`
	Before      model.Offset       `json:"before,omitempty"`
	Worker      model.WorkerID     `json:"worker,omitempty"`
	DataCentre  model.DataCentreID `json:"data-centre,omitempty"`
	Rack        model.RackID       `json:"rack,omitempty"`
	Peer        string             `json:"peer,omitempty"`
	Team        model.TeamID       `json:"team,omitempty"`
	Limit       decl.Limit         `json:"limit,omitzero"`
	// Grace is DefaultGrace if unset.
	Grace *model.Duration `json:"grace,omitempty"`
}

// Check returns ErrBadFault for an unknown kind or a missing field.
func (f Fault) Check() error {
	missing := func(field string, unset bool) error {
		if !unset {
			return nil
		}
		return fmt.Errorf("%w: %s needs %s", ErrBadFault, f.Kind, field)
	}
	switch f.Kind {
	case LogOutage, ListLag, LogTruncate:
		return nil
	case LogSlow, WorkerSlow:
		return missing("delay", f.Delay <= 0)
	case AppendAnswerLost, WorkerAnswerLost:
		return missing("probability or next", f.Probability <= 0 && f.NextCalls <= 0)
	case WorkerReboot, WorkerUnreachable, WorkerFails:
		return missing("worker", f.Worker == "")
	case Partition, RackPoweredOff, DataCentreOutOfService:
		return missing("data-centre", f.DataCentre == "")
	case TeamLimit:
		return missing("team", f.Team == "")
	default:
		return fmt.Errorf("%w: unknown kind %q", ErrBadFault, f.Kind)
	}
}

func (f Fault) grace() time.Duration {
	if f.Grace == nil {
		return DefaultGrace
	}
	return f.Grace.Std()
}

// isOneShot reports whether the fault acts only at the time at which it is set.
func (f Fault) isOneShot() bool {
	return f.Kind == LogTruncate || f.Kind == WorkerReboot && f.For == 0
}

// exhausted reports whether a fault that affects a number of calls has affected all of them.
func (f Fault) exhausted() bool {
	return (f.Kind == AppendAnswerLost || f.Kind == WorkerAnswerLost) && f.NextCalls == 0 && f.Probability == 0
}
