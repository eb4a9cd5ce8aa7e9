package admin

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/opapi"
	"arbutuswing.example/internal/record"
	"arbutuswing.example/internal/state"
)

// ErrConfig reports a configuration that lacks a part.
var ErrConfig = errors.New("incomplete configuration of the operator API")

// State is the folded state that the API shows. Offsets are those of the last change to what is returned.
type State interface {
	Offset() model.Offset
	Declarations() (decl.Set, model.Offset)
	// Proposals returns the open proposals in recorded order; Effect may be empty.
	Proposals() []opapi.Proposal
	Members() ([]state.Member, model.Offset)
	// Workers returns the workers of all data centres for an empty name.
	Workers(dc model.DataCentreID) []state.Worker
	Usage() map[model.TeamID]state.Usage
}

// Submitter records operations.
type Submitter interface {
	// Submit returns once the operations are folded, with nil or the reason for being void for each. An error that
	// wraps Config.NotRecorded promises that nothing was recorded; after any other the operations may still be.
	Submit(ctx context.Context, ops ...record.Op) ([]error, error)
}

// Dumper is an aggregate that shows its state in a dump.
type Dumper interface {
	// Dump returns a value to be encoded as JSON; it must not be altered afterwards.
	Dump() any
}

// Section is an aggregate's part of the dump.
type Section struct {
	Name   string
	Dumper Dumper
}

// Config holds what the operator API needs.
type Config struct {
	// Address is the IP:port to listen on.
	Address     string
	Instance    model.InstanceID
	DataCentre  model.DataCentreID
	Version     string
	OperatorKey model.KeyHash
	State       State
	Submitter   Submitter
	// NotRecorded is the sentinel of the Submitter's errors that promise that nothing was recorded.
	NotRecorded error
	// Sections are the parts of the dump, in the order in which they are shown.
	Sections []Section
	// Connectivity returns the connectivity state's name.
	Connectivity func() string
	// Ready returns why the instance can't serve, or nil.
	Ready func() error
	// Violations counts violated invariants by name.
	Violations func() map[string]int
	Log        *zap.Logger
	// SubmitTimeout bounds how long a change waits to be recorded; it must be below the timeout of aw-ctl (10 s), so
	// that operators get a true answer.
	SubmitTimeout time.Duration
}

// WithDefaults returns the configuration with defaults for what may be left out.
func (c Config) WithDefaults() Config {
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	c.SubmitTimeout = cmp.Or(c.SubmitTimeout, 8*time.Second)
	if c.Connectivity == nil {
		c.Connectivity = func() string { return "" }
	}
	if c.Ready == nil {
		c.Ready = func() error { return nil }
	}
	if c.Violations == nil {
		c.Violations = func() map[string]int { return nil }
	}
	return c
}

// Check returns ErrConfig with the name of a part that is missing or malformed.
func (c Config) Check() error {
	switch {
	case c.Address == "":
		return fmt.Errorf("%w: address", ErrConfig)
	case !decl.ValidKeyHash(c.OperatorKey):
		return fmt.Errorf("%w: operator key hash", ErrConfig)
	case c.State == nil:
		return fmt.Errorf("%w: state", ErrConfig)
	case c.Submitter == nil:
		return fmt.Errorf("%w: submitter", ErrConfig)
	case c.NotRecorded == nil:
		return fmt.Errorf("%w: sentinel of operations that were not recorded", ErrConfig)
	case c.SubmitTimeout < 0:
		return fmt.Errorf("%w: submit timeout", ErrConfig)
	}
	return nil
}
