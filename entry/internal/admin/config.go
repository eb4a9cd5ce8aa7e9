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

// ErrConfig reports a configuration with a missing or invalid field.
var ErrConfig = errors.New("incomplete configuration of the operator API")

// State reads the state machine. The returned offsets are those of the last change to what is returned.
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

// Submitter records operations in the log.
type Submitter interface {
	// Submit returns once the state machine has applied the operations. For each one it returns nil, or the reason why it
	// was rejected. An error that wraps Config.NotRecorded guarantees that nothing was or will be recorded; after any
	// other error the operations may still be recorded.
	Submit(ctx context.Context, ops ...record.Op) ([]error, error)
}

// Dumper is a component whose state is part of the dump.
type Dumper interface {
	// Dump returns a value that can be encoded as JSON and is not modified afterwards.
	Dump() any
}

// Section is a component's part of the state dump.
type Section struct {
	Name   string
	Dumper Dumper
}

// Config configures a Server.
type Config struct {
	// Address is the IP:port to listen on.
	Address     string
	Instance    model.InstanceID
	DataCentre  model.DataCentreID
	Version     string
	OperatorKey model.KeyHash
	State       State
	Submitter   Submitter
	// NotRecorded is the error that the Submitter's errors wrap if nothing was or will be recorded.
	NotRecorded error
	// Sections are the sections of the dump in output order.
	Sections []Section
	// Connectivity returns the name of the connectivity state.
	Connectivity func() string
	// Ready returns nil, or the reason why the instance can't serve.
	Ready func() error
	// Violations returns the number of violations by invariant.
	Violations func() map[string]int
	Log        *zap.Logger
	// SubmitTimeout bounds how long a change waits to be recorded. It must be shorter than the timeout of aw-ctl (10 s);
	// otherwise aw-ctl gives up before the server can answer whether the change was recorded.
	SubmitTimeout time.Duration
}

// WithDefaults returns the configuration with unset optional fields filled in.
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

// Check returns ErrConfig with the name of a field that is missing or invalid.
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
		return fmt.Errorf("%w: error for operations that were not recorded", ErrConfig)
	case c.SubmitTimeout < 0:
		return fmt.Errorf("%w: submit timeout", ErrConfig)
	}
	return nil
}
