package ports

import (
	"context"
	"errors"
	"time"

	"arbutuswing.example/internal/model"
)

// Errors of workers.
var (
	// ErrLeaseHeld reports that another holder has a lease that has not expired.
	ErrLeaseHeld = errors.New("worker lease is held by another instance")
	// ErrStaleToken reports that the fencing token is older than the worker's.
	ErrStaleToken = errors.New("stale fencing token")
	// ErrUnreachable reports that the worker did not answer; the command may have taken effect.
	ErrUnreachable = errors.New("worker unreachable")
	// ErrUnknownTask reports that the worker doesn't have the attempt that the command names.
	ErrUnknownTask = errors.New("worker does not know the attempt")
)

// TaskPhase is the state of an attempt on a worker.
type TaskPhase string

// Phases of attempts.
const (
	PhaseRunning TaskPhase = "running"
	PhaseEnded   TaskPhase = "ended"
)

// TaskReport is a worker's report on one attempt; its usage may be out of date.
type TaskReport struct {
	Attempt model.AttemptID `json:"attempt"`
	Phase   TaskPhase       `json:"phase"`
	// Outcome is set once the attempt has ended.
	Outcome model.Outcome `json:"outcome,omitempty"`
	Usage   model.Usage   `json:"usage"`
	// Checkpoint is the run time that the last checkpoint covers.
	Checkpoint model.Duration `json:"checkpoint,omitempty"`
	Throttle   float64        `json:"throttle,omitempty"`
}

// LeaseRequest asks a worker to grant or renew its lease and to extend the leases of its tasks.
type LeaseRequest struct {
	Holder string `json:"holder"`
	// Token is zero to acquire the lease; to renew it, it is the token that the worker issued.
	Token model.Token    `json:"token"`
	TTL   model.Duration `json:"ttl"`
	// TaskTTL extends the leases of running tasks to the worker clock time Basis plus TaskTTL; zero leaves them as they
	// are.
	TaskTTL model.Duration `json:"task-ttl"`
	// Basis is the worker's clock in the last report that the holder received.
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
	// Clock is the worker's monotonic clock, which starts at its boot.
	Clock model.Duration `json:"clock"`
	// Tasks lists the running attempts and the ended ones that have not been acknowledged.
	Tasks []TaskReport `json:"tasks"`
}

// StartRequest asks a worker to run one attempt; it is idempotent.
type StartRequest struct {
	Attempt     model.AttemptID `json:"attempt"`
	Team        model.TeamID    `json:"team"`
	Reservation model.Resources `json:"reservation"`
	// Size and DeclaredRunTime are the submitter's estimates. Simulated workers derive from them what the attempt really
	// needs; workers of a real platform ignore them.
	Size            model.Resources `json:"size,omitzero"`
	DeclaredRunTime model.Duration  `json:"declared"`
	Service         bool            `json:"service,omitempty"`
	Payload         string          `json:"payload,omitempty"`
	// Resume is the run time covered by the checkpoint of an earlier attempt, from which this one resumes.
	Resume model.Duration `json:"resume,omitempty"`
	// TaskTTL is the duration of the first task lease, which starts at Basis, the worker's clock in the last report that
	// the holder received. A start that arrives after the lease has expired has no effect.
	TaskTTL model.Duration `json:"task-ttl"`
	Basis   model.Duration `json:"basis"`
}

// Worker is a client of the workers. Each call goes to the worker at address, which comes from the instance list.
type Worker interface {
	// Lease acquires or renews the lease of the worker at address.
	Lease(ctx context.Context, address string, req LeaseRequest) (WorkerReport, error)
	// Release releases the lease; the leases of running tasks stay until they expire.
	Release(ctx context.Context, address string, token model.Token) error
	// Start starts attempts.
	Start(ctx context.Context, address string, token model.Token, starts []StartRequest) error
	// Stop stops attempts; the worker will report them as ended with the given outcome.
	Stop(ctx context.Context, address string, token model.Token, outcome model.Outcome, attempts []model.AttemptID) error
	// Checkpoint saves the progress of an attempt.
	Checkpoint(ctx context.Context, address string, token model.Token, attempt model.AttemptID) error
	// Throttle limits an attempt to a fraction of the processors that it reserved; fraction is above 0 and at most 1.
	Throttle(ctx context.Context, address string, token model.Token, attempt model.AttemptID, fraction float64) error
	// Acknowledge confirms reports of ended attempts, so that the worker no longer reports them.
	Acknowledge(ctx context.Context, address string, token model.Token, attempts []model.AttemptID) error
}

// CommandTimeout is the timeout of one call to a worker.
const CommandTimeout = time.Second
