package route

import (
	"errors"
	"fmt"
)

// Outcomes other than an answer. Every error of Serve wraps exactly one of them.
var (
	// ErrNotRun reports that the request did not and will not run.
	ErrNotRun = errors.New("not run")
	// ErrUnknownOutcome reports that the request may have run.
	ErrUnknownOutcome = errors.New("outcome unknown")
	// ErrConflict reports that a request with the ID is running or was answered before.
	ErrConflict = errors.New("request ID already used")
)

// Reasons of refusals; each wraps ErrNotRun.
var (
	// ErrOverloaded reports that the request would have waited longer than its class's target.
	ErrOverloaded = fmt.Errorf("%w: too much work is waiting", ErrNotRun)
	// ErrNoEndpoint reports that no endpoint serves the class.
	ErrNoEndpoint = fmt.Errorf("%w: no endpoint serves the class", ErrNotRun)
	// ErrSlotTimeout reports that no slot came free in time.
	ErrSlotTimeout = fmt.Errorf("%w: no slot came free in time", ErrNotRun)
	// ErrDraining reports that this instance is shutting down.
	ErrDraining = fmt.Errorf("%w: this instance is shutting down", ErrNotRun)
	// ErrAttemptsExhausted reports that none of the endpoints tried accepted the request.
	ErrAttemptsExhausted = fmt.Errorf("%w: every endpoint tried refused", ErrNotRun)
	// ErrClaimRefused reports that the request ID could not be claimed.
	ErrClaimRefused = fmt.Errorf("%w: the request ID could not be claimed", ErrNotRun)
)

// ErrConfig reports a configuration that can't work.
var ErrConfig = errors.New("invalid configuration")
