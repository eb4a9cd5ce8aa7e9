package platf

import (
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/ports"
)

// Paths below the platform's address.
const (
	PathRecords   = "/log/records"
	PathList      = "/list"
	PathInstances = "/list/instances"
)

// Paths below a worker's address.
const (
	PathLease       = "/lease"
	PathRelease     = "/release"
	PathStart       = "/start"
	PathStop        = "/stop"
	PathCheckpoint  = "/checkpoint"
	PathThrottle    = "/throttle"
	PathAcknowledge = "/acknowledge"
)

// HeaderDataCentre names the data centre of the caller.
const HeaderDataCentre = "From-Data-Centre"

// Code is the machine-readable reason of a refusal.
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

// ListAnswer is the answer to a read of the list.
type ListAnswer struct {
	Instances []ports.Instance `json:"instances"`
}

// PresenceMessage marks an instance of the list.
type PresenceMessage struct {
	Presence ports.Presence `json:"presence"`
}

// ReleaseMessage gives a worker lease back.
type ReleaseMessage struct {
	Token model.Token `json:"token"`
}

// StartMessage asks a worker to run attempts.
type StartMessage struct {
	Token  model.Token          `json:"token"`
	Starts []ports.StartRequest `json:"starts"`
}

// StopMessage asks a worker to end attempts.
type StopMessage struct {
	Token    model.Token       `json:"token"`
	Outcome  model.Outcome     `json:"outcome"`
	Attempts []model.AttemptID `json:"attempts"`
}

// CheckpointMessage asks a worker to save the progress of an attempt.
type CheckpointMessage struct {
	Token   model.Token     `json:"token"`
	Attempt model.AttemptID `json:"attempt"`
}

// ThrottleMessage limits an attempt's processors.
type ThrottleMessage struct {
	Token   model.Token     `json:"token"`
	Attempt model.AttemptID `json:"attempt"`
	// Fraction is above 0 and at most 1.
	Fraction float64 `json:"fraction"`
}

// AcknowledgeMessage lets a worker forget ended attempts.
type AcknowledgeMessage struct {
	Token    model.Token       `json:"token"`
	Attempts []model.AttemptID `json:"attempts"`
}
