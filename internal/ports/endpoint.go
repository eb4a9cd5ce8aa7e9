package ports

import (
	"context"
	"errors"
	"time"

	"arbutuswing.example/internal/model"
)

// Errors of Endpoint.Send; each says whether the endpoint may have run the request.
var (
	// ErrNotSent reports that no byte of the request reached the endpoint, so it did not run.
	ErrNotSent = errors.New("request was not sent")
	// ErrBusy reports that the endpoint rejected the request because it has no free slot, so it did not run.
	ErrBusy = errors.New("endpoint has no free slot")
	// ErrLeaving reports that the endpoint rejected the request because it is shutting down, so it did not run.
	ErrLeaving = errors.New("endpoint is leaving")
	// ErrNoAnswer reports that the request was sent but no complete answer to it was received, so it may have run.
	ErrNoAnswer = errors.New("no whole answer from the endpoint")
)

// Call is one attempt to have an endpoint run a request.
type Call struct {
	Address string
	// Attempt identifies the attempt; the answer must repeat it, so that it can't be taken for another request's.
	Attempt string
	// RequestID is the client's request ID, which endpoints may log; it may be empty.
	RequestID string
	Class     model.ClassID
	Team      model.TeamID
	Body      []byte
	// Probe asks to check an idle connection before the request is sent on it.
	Probe   bool
	Timeout time.Duration
}

// Answer is a complete answer of an endpoint.
type Answer struct {
	// Attempt is the attempt identifier in the answer.
	Attempt     string
	Status      int
	ContentType string
	Body        []byte
	// Busy is the number of slots in use, as reported by the endpoint.
	Busy int
}

// Endpoint is a client of the endpoints.
type Endpoint interface {
	// Send sends one attempt and returns the answer. The error wraps ErrNotSent, ErrBusy, ErrLeaving or ErrNoAnswer.
	Send(ctx context.Context, call Call) (Answer, error)
	// CloseIdleConnections closes the idle connections to address.
	CloseIdleConnections(address string)
}
