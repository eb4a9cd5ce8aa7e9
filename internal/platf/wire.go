package platf

import (
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/ports"
)

// Paths of the log and the instance list, relative to the platform's address.
const (
	PathRecords   = "/log/records"
	PathList      = "/list"
	PathInstances = "/list/instances"
)

// Paths of worker commands, relative to the worker's address.
const (
	PathLease       = "/lease"
	PathRelease     = "/release"
	PathStart       = "/start"
	PathStop        = "/stop"
	PathCheckpoint  = "/checkpoint"
	PathThrottle    = "/throttle"
	PathAcknowledge = "/acknowledge"
)

// HeaderDataCentre is the header with the name of the caller's data centre.
const HeaderDataCentre = "From-Data-Centre"

// Code is the machine-readable reason of a Refusal.
type Code string

// Codes of refusals.
const (
	CodeUnavailable Code = "unavailable"
	CodeThrottled   Code = "throttled"
	CodeTruncated   Code = "truncated"
	CodeLeaseHeld   Code = "lease-held"
	CodeStaleToken  Code = "stale-token"
	CodeUnknownTask Code = "unknown-task"
	CodeBadRequest  Code = "bad-request"
	CodeNotFound    Code = "not-found"
)

// Refusal is the body of every answer that is not a success.
type Refusal struct {
	Code   Code   `json:"code"`
	Detail string `json:"detail,omitempty"`
}

// AppendAnswer is the answer to an append.
type AppendAnswer struct {
	Offset model.Offset `json:"offset"`
}

// ReadAnswer is the answer to a read.
type ReadAnswer struct {
	Records []ports.Record `json:"records"`
	First   model.Offset   `json:"first"`
	Next    model.Offset   `json:"next"`
}

// ListAnswer is the answer to a read of the instance list.
type ListAnswer struct {
	Instances []ports.Instance `json:"instances"`
}

// PresenceMessage sets the presence of an instance in the list.
type PresenceMessage struct {
	Presence ports.Presence `json:"presence"`
}

// ReleaseMessage releases a worker lease.
type ReleaseMessage struct {
	Token model.Token `json:"token"`
}

// StartMessage tells a worker to start attempts.
type StartMessage struct {
	Token  model.Token          `json:"token"`
	Starts []ports.StartRequest `json:"starts"`
}

// StopMessage tells a worker to stop attempts.
type StopMessage struct {
	Token    model.Token       `json:"token"`
	Outcome  model.Outcome     `json:"outcome"`
	Attempts []model.AttemptID `json:"attempts"`
}

// CheckpointMessage tells a worker to save the progress of an attempt.
type CheckpointMessage struct {
	Token   model.Token     `json:"token"`
	Attempt model.AttemptID `json:"attempt"`
}

// ThrottleMessage limits the processor time of an attempt.
type ThrottleMessage struct {
	Token   model.Token     `json:"token"`
	Attempt model.AttemptID `json:"attempt"`
	// Fraction is the part of the reserved processors that the attempt may use: above 0 and at most 1.
	Fraction float64 `json:"fraction"`
}

// AcknowledgeMessage tells a worker that the ends of attempts are recorded, so that it need not report them any more.
type AcknowledgeMessage struct {
	Token    model.Token       `json:"token"`
	Attempts []model.AttemptID `json:"attempts"`
}
