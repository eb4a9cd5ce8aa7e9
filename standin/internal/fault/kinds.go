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

// Kinds of faults; the fields that each uses are listed with it.
const (
	// LogOutage refuses every call to the log; with Silent it doesn't answer at all.
	LogOutage Kind = "log-outage"
	// LogSlow delays every call to the log by Delay.
	LogSlow Kind = "log-slow"
	// AppendAnswerLost lets appends take effect without an answer: the next Next ones, or with Probability.
	AppendAnswerLost Kind = "append-answer-lost"
	// LogTruncate drops records before offset Before at once.
	LogTruncate Kind = "log-truncate"
	// ListLag changes the list's lag to Delay.
	ListLag Kind = "list-lag"
	// WorkerReboot ends all attempts of Worker at once; the worker is unreachable for For.
	WorkerReboot Kind = "worker-reboot"
	// WorkerUnreachable lets Worker go on without answering calls.
	WorkerUnreachable Kind = "worker-unreachable"
	// WorkerFails lets every attempt that starts on Worker fail soon.
	WorkerFails Kind = "worker-fails"
	// WorkerAnswerLost lets commands to Worker, or to all if empty, take effect without an answer: the next Next ones,
	// or with Probability.
	WorkerAnswerLost Kind = "worker-answer-lost"
	// WorkerSlow carries out commands to Worker, or to all if empty, only after Delay, whether the caller still waits or
	// not: so commands arrive late and out of order.
	WorkerSlow Kind = "worker-slow"
	// Partition separates DataCentre from Peer: "platform" for the log and the list, a data centre, or empty for all.
	Partition Kind = "partition"
	// RackPoweredOff switches off the workers of Rack, or of all racks if empty, in DataCentre; they boot when it is cleared.
	RackPoweredOff Kind = "rack-gone"
	// DataCentreOutOfService tells the audit that operators have taken DataCentre out of service; starts count after Grace.
	DataCentreOutOfService Kind = "data-centre-out"
	// TeamLimit tells the audit the upper limit Limit of Team; starts count after Grace.
	TeamLimit Kind = "team-limit"
)

// PeerPlatform is the Peer of a partition that cuts a data centre off from the log and the list only.
const PeerPlatform = "platform"

// DefaultGrace is how long after a declaration starts may still break it.
const DefaultGrace = 5 * time.Second

// Fault is one fault; which fields count depends on the kind.
type Fault struct {
	// ID is given by the stand-in.
	ID   int  `json:"id,omitempty"`
	Kind Kind `json:"kind"`
	// For clears the fault after a time; zero keeps it until it is cleared.
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

// isOneShot reports whether the fault is over once its effect is carried out.
func (f Fault) isOneShot() bool {
	return f.Kind == LogTruncate || f.Kind == WorkerReboot && f.For == 0
}

// exhausted reports whether a fault that hits a number of calls has hit them all.
func (f Fault) exhausted() bool {
	return (f.Kind == AppendAnswerLost || f.Kind == WorkerAnswerLost) && f.NextCalls == 0 && f.Probability == 0
}
