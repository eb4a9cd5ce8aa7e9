package intake

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"arbutuswing.example/internal/inbox"
	"arbutuswing.example/internal/ledger"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/terms"
	"arbutuswing.example/internal/work"
)

var (
	// ErrNoOwner reports that no owner could be asked.
	ErrNoOwner = errors.New("no owner answers")
	// ErrUnknownJob reports a job that the owner doesn't know.
	ErrUnknownJob = errors.New("unknown job")
)

const (
	// comeBack is told to clients that were refused: the store and a new owner are usually back by then.
	comeBack = time.Second
	// comeBackMax is told to clients whose jobs have time, so that their few attempts outlast an outage of the store.
	comeBackMax = 2 * time.Second
	// comeBackShare is the share of a job's time to its objective that one attempt may wait.
	comeBackShare = 0.25
	// tellLimit bounds the call that lets the owner know of a job; by then it has usually read of it.
	tellLimit = 500 * time.Millisecond
	// cancelPrefix sets the records of cancellations apart from those of jobs.
	cancelPrefix = "cancel/"
	jobPrefix    = "job/"
	maxIDBytes   = 64
)

// RecordWriter stores records.
type RecordWriter interface {
	Put(ctx context.Context, record ledger.Record) error
}

// Owner answers for the jobs that it decides on.
type Owner interface {
	// State returns ErrUnknownJob or ErrNoOwner if it can't.
	State(ctx context.Context, id model.JobID) (work.State, error)
	// Pending returns ErrNoOwner if it can't.
	Pending(ctx context.Context, queue string) (int, error)
	// Notify lets the owner know of a stored job sooner than it reads of it.
	Notify(ctx context.Context, job work.Job) error
}

// Config describes an intake.
type Config struct {
	// Terms returns the configuration in force, or false before there is one.
	Terms   func() (terms.Terms, bool)
	Records RecordWriter
	Owner   Owner
	Log     *zap.Logger
}

// Intake admits calls.
type Intake struct{ cfg Config }

// New returns an intake.
func New(cfg Config) *Intake { return &Intake{cfg} }

// Call is where a client's call goes and with which key.
type Call struct {
	Host string
	Path string
	Key  string
}

// entry is a call that found its queue and team.
type entry struct {
	queue terms.Queue
	team  model.TeamID
	id    string
	terms terms.Terms
}

func (i *Intake) enter(call Call) (entry, Outcome) {
	t, ok := i.cfg.Terms()
	if !ok {
		return entry{}, RetryLater{"no configuration yet", comeBack}
	}
	queue, ok := t.Route(call.Host, call.Path)
	if !ok {
		return entry{}, QueueNotFound{}
	}
	team, granted := t.TeamOf(call.Key)
	if !granted && !queue.Anonymous {
		return entry{}, Unauthorised{}
	}
	return entry{queue, team, call.Path[len(queue.Prefix):], t}, nil
}

// Precheck checks where a call goes before its body is read: it returns nil, or the outcome that refuses the call.
func (i *Intake) Precheck(call Call, bodyBytes int) Outcome {
	e, refused := i.enter(call)
	if refused != nil {
		return count("enter", refused)
	}
	if limit := e.terms.Limits.BodyBytes; limit > 0 && bodyBytes > limit {
		return count("enter", TooLarge{})
	}
	return nil
}

// submitSeconds is the time that storing a submitted job takes.
var submitSeconds = metrics.NewHistogram(`aw_job_submit_seconds`)

// count counts the outcome of a call.
func count(call string, o Outcome) Outcome {
	metrics.GetOrCreateCounter(fmt.Sprintf(`aw_client_calls_total{call=%q,outcome=%q}`, call, label(o))).Inc()
	return o
}

// Submit stores a job under the identifier that the call names; a repeated identifier stays one job.
func (i *Intake) Submit(ctx context.Context, call Call, job work.Job) Outcome {
	return count("submit", i.submit(ctx, call, job))
}

func (i *Intake) submit(ctx context.Context, call Call, job work.Job) Outcome {
	e, refused := i.enter(call)
	if refused != nil {
		return refused
	}
	if !validID(e.id) {
		return Invalid{"malformed job identifier"}
	}
	job.ID, job.Queue, job.Team, job.Accepted = model.JobID(e.id), e.queue.Name, e.team, time.Now()
	if err := job.Validate(); err != nil {
		i.cfg.Log.Info("job refused", zap.String("job", e.id), zap.String("queue", e.queue.Name), zap.Error(err))
		return Invalid{err.Error()}
	}
	value, err := job.Encode()
	if err != nil {
		return Invalid{err.Error()}
	}
	begun := time.Now()
	outcome := i.put(ctx, ledger.Record{Key: jobPrefix + e.id, Value: value})
	if refused, ok := outcome.(RetryLater); ok {
		refused.RetryAfter = attemptPause(job, e.queue)
		outcome = refused
	}
	if _, ok := outcome.(Accepted); ok {
		go i.runTell(job)
	}
	submitSeconds.UpdateDuration(begun)
	i.cfg.Log.Info("job submitted", zap.String("job", e.id), zap.String("queue", e.queue.Name),
		zap.String("team", string(e.team)), zap.Int64("config-version", e.terms.Version),
		zap.Duration("took", time.Since(begun)), zap.String("outcome", name(outcome)))
	return outcome
}

// runTell lets the owner know of a stored job; the owner reads of it anyway.
func (i *Intake) runTell(job work.Job) {
	ctx, cancel := context.WithTimeout(context.Background(), tellLimit)
	defer cancel()
	if err := i.cfg.Owner.Notify(ctx, job); err != nil {
		i.cfg.Log.Debug("owner not told", zap.String("job", string(job.ID)), zap.Error(err))
	}
}

// attemptPause is how long a client should wait before it hands the job in again.
func attemptPause(job work.Job, queue terms.Queue) time.Duration {
	objective := float64(job.CriticalPathTime(0))*queue.Stretch + float64(queue.Latency)
	return min(max(time.Duration(objective*comeBackShare), comeBack), comeBackMax)
}

// Cancel stores the cancellation of a job.
func (i *Intake) Cancel(ctx context.Context, call Call) Outcome {
	return count("cancel", i.cancel(ctx, call))
}

func (i *Intake) cancel(ctx context.Context, call Call) Outcome {
	e, refused := i.enter(call)
	if refused != nil {
		return refused
	}
	if !validID(e.id) {
		return JobNotFound{}
	}
	outcome := i.put(ctx, ledger.Record{Key: cancelPrefix + e.id, Value: []byte{1}})
	i.cfg.Log.Info("cancel submitted", zap.String("job", e.id), zap.String("outcome", name(outcome)))
	return outcome
}

func (i *Intake) put(ctx context.Context, record ledger.Record) Outcome {
	err := i.cfg.Records.Put(ctx, record)
	switch {
	case err == nil:
		return Accepted{}
	case errors.Is(err, inbox.ErrRefused):
		return RetryLater{"store unavailable", comeBack}
	default:
		return InDoubt{err.Error()}
	}
}

// Query returns the state of a job, or the length of the queue if the call names no job.
func (i *Intake) Query(ctx context.Context, call Call) Outcome {
	return count("look", i.look(ctx, call))
}

func (i *Intake) look(ctx context.Context, call Call) Outcome {
	e, refused := i.enter(call)
	if refused != nil {
		return refused
	}
	if e.id == "" {
		n, err := i.cfg.Owner.Pending(ctx, e.queue.Name)
		if err != nil {
			return RetryLater{err.Error(), comeBack}
		}
		return QueueLength{n}
	}
	if !validID(e.id) {
		return JobNotFound{}
	}
	state, err := i.cfg.Owner.State(ctx, model.JobID(e.id))
	switch {
	case err == nil:
		return JobState{state}
	case errors.Is(err, ErrUnknownJob):
		i.cfg.Log.Info("job unknown", zap.String("job", e.id))
		return JobNotFound{}
	default:
		i.cfg.Log.Info("state not available", zap.String("job", e.id), zap.Error(err))
		return RetryLater{err.Error(), comeBack}
	}
}

// validID accepts identifiers that are safe in keys and task names.
func validID(id string) bool {
	if id == "" || len(id) > maxIDBytes {
		return false
	}
	for _, c := range id {
		if (c < '0' || c > '9') && (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && c != '-' && c != '_' {
			return false
		}
	}
	return true
}

func name(o Outcome) string {
	switch o := o.(type) {
	case Accepted:
		return "accepted"
	case RetryLater:
		return "refused: " + o.Reason
	case InDoubt:
		return "in doubt: " + o.Reason
	default:
		return "refused"
	}
}

// ParseRecordKey tells what a stored record is about; cancelled is true for a cancellation.
func ParseRecordKey(key string) (id model.JobID, cancelled, ok bool) {
	switch {
	case len(key) > len(cancelPrefix) && key[:len(cancelPrefix)] == cancelPrefix:
		return model.JobID(key[len(cancelPrefix):]), true, true
	case len(key) > len(jobPrefix) && key[:len(jobPrefix)] == jobPrefix:
		return model.JobID(key[len(jobPrefix):]), false, true
	default:
		return "", false, false
	}
}

// RecordKeys returns the keys of the records about a job.
func RecordKeys(id string) []string { return []string{jobPrefix + id, cancelPrefix + id} }
