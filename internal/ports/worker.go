package ports

import (
	"context"
	"errors"
	"time"

	"arbutuswing.example/internal/model"
)

// Errors of workers.
var (
	// ErrLeaseHeld reports that another holder's lease has not lapsed.
	ErrLeaseHeld = errors.New("worker lease is held by another instance")
	// ErrStaleToken reports a fencing token older than the worker's.
	ErrStaleToken = errors.New("stale fencing token")
	// ErrUnreachable reports that the worker gave no answer; a command may have taken effect.
	ErrUnreachable = errors.New("worker unreachable")
	// ErrUnknownTask reports a command for an attempt that the worker doesn't have.
	ErrUnknownTask = errors.New("worker does not know the attempt")
)

// TaskPhase is the state of an attempt on a worker.
type TaskPhase string

// Phases of attempts.
const (
	PhaseRunning TaskPhase = "running"
	PhaseEnded   TaskPhase = "ended"
)

// TaskReport is a worker's report on one attempt; usage lags behind.
type TaskReport struct {
	Attempt model.AttemptID `json:"attempt"`
	Phase   TaskPhase       `json:"phase"`
	// Outcome is set once the attempt ended.
	Outcome model.Outcome `json:"outcome,omitempty"`
	Usage   model.Usage   `json:"usage"`
	// Checkpoint is the run time that the last checkpoint covers.
	Checkpoint model.Duration `json:"checkpoint,omitempty"`
	Throttle   float64        `json:"throttle,omitempty"`
}

// LeaseRequest acquires or renews a worker lease and extends its tasks' leases.
type LeaseRequest struct {
	Holder string `json:"holder"`
	// Token is zero to acquire, else the token that the worker gave.
	Token model.Token    `json:"token"`
	TTL   model.Duration `json:"ttl"`
	// TaskTTL extends the leases of running tasks to Basis plus TaskTTL; zero leaves them as they are.
	TaskTTL model.Duration `json:"task-ttl"`
	// Basis is the worker's clock reading in the last report that the holder received.
	Basis model.Duration `json:"basis"`
}

// WorkerReport is a worker's answer to a lease request.
type WorkerReport struct {
	Worker     model.WorkerID     `json:"worker"`
	Boot       model.BootID       `json:"boot"`
	DataCentre model.DataCentreID `json:"data-centre"`
	Rack       model.RackID       `json:"rack"`
	Capacity   model.Resources    `json:"capacity"`
	Token      model.Token        `json:"token"`
	// Clock is the worker's monotonic clock, counted from its boot.
	Clock model.Duration `json:"clock"`
	// Tasks lists running attempts, and ended ones until they are acknowledged.
	Tasks []TaskReport `json:"tasks"`
}

// StartRequest asks a worker to run one attempt; asking twice has the effect of asking once.
type StartRequest struct {
	Attempt     model.AttemptID `json:"attempt"`
	Team        model.TeamID    `json:"team"`
	Reservation model.Resources `json:"reservation"`
	// Size and Declared are the submitter's estimates, from which stand-ins derive what the attempt really needs; workers
	// of a real platform ignore them.
	Size            model.Resources `json:"size,omitzero"`
	DeclaredRunTime model.Duration  `json:"declared"`
	Service         bool            `json:"service,omitempty"`
	Payload         string          `json:"payload,omitempty"`
	// Resume is the run time that an earlier attempt's checkpoint covers.
	Resume model.Duration `json:"resume,omitempty"`
	// TaskTTL is the length of the first task lease, which counts from Basis, the worker's clock reading in the last
	// report that the holder received. A start that arrives after that has no effect.
	TaskTTL model.Duration `json:"task-ttl"`
	Basis   model.Duration `json:"basis"`
}

// Worker commands one worker instance at a time; address comes from the list.
type Worker interface {
	// Lease acquires or renews the lease of the worker at address.
	Lease(ctx context.Context, address string, req LeaseRequest) (WorkerReport, error)
	// Release gives the lease back; running tasks keep theirs until they lapse.
	Release(ctx context.Context, address string, token model.Token) error
	// Start runs attempts.
	Start(ctx context.Context, address string, token model.Token, starts []StartRequest) error
	// Stop ends attempts; their reports follow with the outcome given here.
	Stop(ctx context.Context, address string, token model.Token, outcome model.Outcome, attempts []model.AttemptID) error
	// Checkpoint saves the progress of an attempt.
	Checkpoint(ctx context.Context, address string, token model.Token, attempt model.AttemptID) error
	// Throttle limits an attempt to a fraction of its reservation's processors, above 0 and at most 1.
	Throttle(ctx context.Context, address string, token model.Token, attempt model.AttemptID, fraction float64) error
	// Acknowledge lets the worker forget ended attempts.
	Acknowledge(ctx context.Context, address string, token model.Token, attempts []model.AttemptID) error
}

// CommandTimeout bounds one call to a worker.
const CommandTimeout = time.Second
