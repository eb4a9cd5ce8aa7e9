package model

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// ErrBadIdentifier reports a malformed task or attempt identifier.
var ErrBadIdentifier = errors.New("malformed identifier")

type (
	// InstanceID identifies an entry instance; it is the ID in the platform's instance list.
	InstanceID string
	// WorkerID identifies a worker.
	WorkerID string
	// EndpointID identifies an endpoint.
	EndpointID string
	// DataCentreID names a data centre.
	DataCentreID string
	// RackID names a rack within a data centre.
	RackID string
	// TeamID names a team.
	TeamID string
	// OrganisationID names the organisation that a team belongs to.
	OrganisationID string
	// ClassID names a class of work.
	ClassID string
	// JobID names a job. The submitter chooses it; further submissions with the same ID have no effect.
	JobID string
	// BootID identifies one boot of a worker; no task survives a reboot of its worker.
	BootID string
	// Offset is a position in the platform's log.
	Offset int64
	// Incarnation distinguishes the starts of a process; it is the start time in nanoseconds since 1970.
	Incarnation int64
	// Token is a worker's fencing token; the worker rejects commands with an older token.
	Token int64
)

// NoOffset is an offset before every position in the log.
const NoOffset Offset = -1

// TaskID identifies one task of a job.
type TaskID struct {
	Job   JobID
	Index int
}

// String formats the identifier as job/index.
func (t TaskID) String() string { return string(t.Job) + "/" + strconv.Itoa(t.Index) }

// MarshalText encodes the identifier as job/index.
func (t TaskID) MarshalText() ([]byte, error) { return []byte(t.String()), nil }

// UnmarshalText decodes job/index; it returns ErrBadIdentifier for anything else.
func (t *TaskID) UnmarshalText(text []byte) error {
	job, index, err := splitLast(string(text))
	if err != nil {
		return err
	}
	*t = TaskID{Job: JobID(job), Index: index}
	return nil
}

// AttemptID identifies one attempt to run a task; numbers start at 1.
type AttemptID struct {
	Task   TaskID
	Number int
}

// String formats the identifier as job/index/number.
func (a AttemptID) String() string { return a.Task.String() + "/" + strconv.Itoa(a.Number) }

// MarshalText encodes the identifier as job/index/number.
func (a AttemptID) MarshalText() ([]byte, error) { return []byte(a.String()), nil }

// UnmarshalText decodes job/index/number; it returns ErrBadIdentifier for anything else.
func (a *AttemptID) UnmarshalText(text []byte) error {
	head, number, err := splitLast(string(text))
	if err != nil {
		return err
	}
	job, index, err := splitLast(head)
	if err != nil {
		return err
	}
	*a = AttemptID{Task: TaskID{Job: JobID(job), Index: index}, Number: number}
	return nil
}

// splitLast splits text at its last slash into a head and a number. It uses the last slash because job IDs may contain
// slashes.
func splitLast(text string) (string, int, error) {
	cut := strings.LastIndexByte(text, '/')
	if cut <= 0 {
		return "", 0, fmt.Errorf("%w: %q", ErrBadIdentifier, text)
	}
	number, err := strconv.Atoi(text[cut+1:])
	if err != nil || number < 0 {
		return "", 0, fmt.Errorf("%w: %q", ErrBadIdentifier, text)
	}
	return text[:cut], number, nil
}
