package agent

import (
	"context"
	"errors"
	"time"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/work"
)

var (
	// ErrNoAnswer reports that a command got no answer; it may have taken effect or may still do so seconds later.
	ErrNoAnswer = errors.New("no answer from the worker")
	// ErrNotSent reports that the command was not sent and has no effect.
	ErrNotSent = errors.New("command was not sent")
	// ErrFenced reports that the worker has seen a higher fencing token.
	ErrFenced = errors.New("worker has seen a higher fencing token")
	// ErrRunSuperseded reports a start whose run number isn't higher than that of a run of the task that has been stopped
	// or has ended on the worker.
	ErrRunSuperseded = errors.New("run was superseded on the worker")
	// ErrDeadlinePassed reports that the command's deadline has passed on the worker's clock.
	ErrDeadlinePassed = errors.New("deadline has passed on the worker")
	// ErrNoCapacity reports that the task doesn't fit into the worker's free capacity.
	ErrNoCapacity = errors.New("not enough free capacity on the worker")
	// ErrTicket reports a missing, wrong or expired placement ticket.
	ErrTicket = errors.New("placement ticket was not accepted")
	// ErrOtherIncarnation reports that the worker at the address isn't the one that the command was meant for.
	ErrOtherIncarnation = errors.New("another incarnation of the worker answered")
	// ErrUnhealthy reports that the worker did not carry out the command because it isn't healthy.
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
	// MinTimeLeft is the minimum time until a draining worker shuts down.
	MinTimeLeft time.Duration
	Capacity    model.Resources
	Labels      []string
	// Rack is the label that names the worker's rack.
	Rack string
	// Incarnation identifies the worker's process. A later one may have a lower value, if the time of day was set back.
	Incarnation int64
}

// Target identifies the worker that a command is meant for.
type Target struct {
	ID      model.WorkerID
	Address string
}

// Start tells a worker to run a task.
type Start struct {
	Task    work.TaskRef
	Run     int
	Payload string
	// LeaseEnd is the end of the lease on the worker's clock; it applies to all runs on the worker.
	LeaseEnd   time.Duration
	Token      int64
	Checkpoint string
	Ticket     string
}

// Stop tells a worker to end a run. If the run's start has not reached the worker yet, the worker will refuse it.
type Stop struct {
	Task  work.TaskRef
	Run   int
	Token int64
}

// Heartbeat renews the lease of all runs on a worker, acknowledges ended runs and requests a report.
type Heartbeat struct {
	Token int64
	// ReportConnection is the Report.Connection of the last report. LeaseEnd, Acked and Wait are left out unless the heartbeat
	// is sent over this connection: the clock and the numbers of another incarnation begin anew, and its report is needed at once.
	ReportConnection uint64
	// LeaseEnd is the new end of the lease on the worker's clock; zero leaves the lease unchanged.
	LeaseEnd time.Duration
	// Acked is the highest EndedRun.Number that the worker may stop reporting.
	Acked int64
	// Prompt tells that the report is needed at once. A renewal is prompt, so that it is hardly ever under way when the worker falls
	// silent.
	Prompt bool
	// Wait is how long the worker may delay its answer while no run ends.
	Wait time.Duration
}

// ActiveRun is a run in a worker's report that has not ended.
type ActiveRun struct {
	Task       work.TaskRef
	Run        int
	Checkpoint string
	Percent    int
}

// RunOutcome tells how a run ended.
type RunOutcome string

// Outcomes of runs.
const (
	OutcomeDone    RunOutcome = "done"
	OutcomeFailed  RunOutcome = "failed"
	OutcomeStopped RunOutcome = "stopped"
	// OutcomeLeaseExpired: the worker's lease expired.
	OutcomeLeaseExpired RunOutcome = "lapsed"
	// OutcomeGangBroken: another member of the gang ended.
	OutcomeGangBroken RunOutcome = "broken"
	// OutcomeGangIncomplete: the other members of the gang did not start in time.
	OutcomeGangIncomplete RunOutcome = "alone"
)

// EndedRun is a run in a worker's report that has ended.
type EndedRun struct {
	// Number counts the ended runs of the worker, for acknowledging them.
	Number     int64
	Task       work.TaskRef
	Run        int
	Outcome    RunOutcome
	Checkpoint string
}

// Report is a worker's answer to a heartbeat.
type Report struct {
	// Clock is the worker's monotonic clock, counted from its start.
	Clock       time.Duration
	Incarnation int64
	Running     []ActiveRun
	Ended       []EndedRun
	// Incomplete tells that the report may not list all runs, so that a run that it doesn't list may exist.
	Incomplete bool
	// Connection identifies the connection that brought the report, which ends with the worker's process. No two connections
	// to a worker have the same value.
	Connection uint64
}

// Workers sends commands to workers. Start and Stop return the worker's clock if the worker answered.
type Workers interface {
	Start(ctx context.Context, to Target, cmd Start) (time.Duration, error)
	Stop(ctx context.Context, to Target, cmd Stop) (time.Duration, error)
	Heartbeat(ctx context.Context, to Target, cmd Heartbeat) (Report, error)
}

// AdviceRequest asks which of the named workers may run a stage.
type AdviceRequest struct {
	Stage   work.StageRef    `json:"stage"`
	Workers []model.WorkerID `json:"workers"`
	// Timeout bounds the call, including the service's processing time.
	Timeout model.Duration `json:"timeout"`
}

// Advice is the answer to an AdviceRequest.
type Advice struct {
	// Tickets holds a ticket for each worker that may run the stage.
	Tickets map[model.WorkerID]string `json:"tickets"`
	// Valid is how long workers accept the tickets.
	Valid model.Duration `json:"valid"`
}

// ErrBusy reports that the advice service refused a call, or that the call was not sent, because too many others wait.
var ErrBusy = errors.New("advice service is busy")

// Advisor tells which workers may run a stage; the answer for a stage and a worker never changes.
type Advisor interface {
	Advise(ctx context.Context, req AdviceRequest) (Advice, error)
}
