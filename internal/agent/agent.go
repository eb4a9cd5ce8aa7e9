package agent

import (
	"context"
	"errors"
	"time"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/work"
)

var (
	// ErrNoAnswer reports a command without an answer; it may have taken effect or may do so seconds later.
	ErrNoAnswer = errors.New("no answer from the worker")
	// ErrNotSent reports that the command never left.
	ErrNotSent = errors.New("command was not sent")
	// ErrFenced reports that the worker has seen a higher fencing token.
	ErrFenced = errors.New("worker has seen a higher fencing token")
	// ErrRunSuperseded reports a run that isn't higher than one that was stopped or ended there.
	ErrRunSuperseded = errors.New("run was superseded on the worker")
	// ErrDeadlinePassed reports a deadline that has passed on the worker's clock.
	ErrDeadlinePassed = errors.New("deadline has passed on the worker")
	// ErrNoCapacity reports that the task doesn't fit.
	ErrNoCapacity = errors.New("no room on the worker")
	// ErrTicket reports a missing, wrong or lapsed ticket.
	ErrTicket = errors.New("placement ticket was not accepted")
	// ErrOtherIncarnation reports that another life of the worker answered.
	ErrOtherIncarnation = errors.New("another life of the worker answered")
	// ErrUnhealthy reports that the worker did nothing because it isn't healthy.
	ErrUnhealthy = errors.New("worker is not healthy")
	// ErrRejected reports a command that the worker can't understand.
	ErrRejected = errors.New("worker rejected the command")
)

// Entry is a worker's entry in the registry.
type Entry struct {
	ID         model.WorkerID
	Pool       string
	Address    string
	DataCentre model.DataCentreID
	Draining   bool
	// MinTimeLeft is the least time until a draining worker is gone.
	MinTimeLeft time.Duration
	Capacity    model.Resources
	Labels      []string
	// Rack is the label that names the rack.
	Rack string
	// Incarnation identifies the worker's life; later lives have higher values.
	Incarnation int64
}

// Target is the life of a worker that a command is meant for.
type Target struct {
	ID      model.WorkerID
	Address string
}

// Start tells a worker to run a task.
type Start struct {
	Task    work.TaskRef
	Run     int
	Payload string
	// LeaseEnd is on the worker's clock and holds for everything on the worker.
	LeaseEnd   time.Duration
	Token      int64
	Checkpoint string
	Ticket     string
}

// Stop tells a worker to end a run; a run that isn't there yet is refused from then on.
type Stop struct {
	Task  work.TaskRef
	Run   int
	Token int64
}

// Heartbeat renews the lease of everything on a worker, acknowledges ends and asks for a report.
type Heartbeat struct {
	Token int64
	// LeaseEnd is on the worker's clock; zero leaves the lease as it is.
	LeaseEnd time.Duration
	// Acked is the highest end that may be forgotten.
	Acked int64
	// Wait is how long the answer may wait for an end.
	Wait time.Duration
}

// ActiveRun is one run in a worker's report.
type ActiveRun struct {
	Task       work.TaskRef
	Run        int
	Checkpoint string
	Percent    int
}

// RunOutcome tells how a run ended.
type RunOutcome string

// Ends of runs.
const (
	OutcomeDone           RunOutcome = "done"
	OutcomeFailed         RunOutcome = "failed"
	OutcomeStopped        RunOutcome = "stopped"
	OutcomeLeaseExpired   RunOutcome = "lapsed"
	OutcomeGangBroken     RunOutcome = "broken"
	OutcomeGangIncomplete RunOutcome = "alone"
)

// EndedRun is one end in a worker's report.
type EndedRun struct {
	Number     int64
	Task       work.TaskRef
	Run        int
	Outcome    RunOutcome
	Checkpoint string
}

// Report is a worker's answer to a hold.
type Report struct {
	// Clock is the worker's steady clock, from its start.
	Clock       time.Duration
	Incarnation int64
	Running     []ActiveRun
	Ended       []EndedRun
	// Truncated tells that further ends wait to be listed.
	Truncated bool
}

// Workers sends commands to workers; each command returns the worker's clock if the worker answered.
type Workers interface {
	Start(ctx context.Context, to Target, order Start) (time.Duration, error)
	Stop(ctx context.Context, to Target, order Stop) (time.Duration, error)
	Heartbeat(ctx context.Context, to Target, order Heartbeat) (Report, error)
}

// AdviceRequest asks which workers may run a stage.
type AdviceRequest struct {
	Stage   work.StageRef    `json:"stage"`
	Workers []model.WorkerID `json:"workers"`
	// Timeout bounds the call; it covers the service's own time.
	Timeout model.Duration `json:"timeout"`
}

// Advice tells which of the workers asked about may run a stage.
type Advice struct {
	// Tickets holds a ticket for each worker that may run the stage.
	Tickets map[model.WorkerID]string `json:"tickets"`
	// Valid is how long the tickets are accepted.
	Valid model.Duration `json:"valid"`
}

// ErrBusy reports that the advice service has too many calls waiting.
var ErrBusy = errors.New("advice service is busy")

// Advisor answers which workers may run a stage; the answer for a stage and a worker never changes.
type Advisor interface {
	Advise(ctx context.Context, q AdviceRequest) (Advice, error)
}
