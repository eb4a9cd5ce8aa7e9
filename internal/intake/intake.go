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
	// ErrNoOwner reports that there is no owner of the jobs or that it doesn't answer.
	ErrNoOwner = errors.New("no owner answers")
	// ErrUnknownJob reports that the owner doesn't know the job.
	ErrUnknownJob = errors.New("unknown job")
)

const (
	// retryAfter is the delay after which refused clients are told to retry; by then the store or a new owner is usually
	// available again.
	retryAfter = time.Second
	// maxRetryAfter bounds the longer delay for jobs that are not urgent. Clients make only few attempts, which must
	// outlast an outage of the store.
	maxRetryAfter = 2 * time.Second
	// retryAfterFraction is the fraction of a job's objective for its completion time that a client may wait between two
	// attempts.
	retryAfterFraction = 0.25
	// notifyTimeout bounds the call that notifies the owner of a job; after that time the owner has usually read the job from
	// the store.
	notifyTimeout = 500 * time.Millisecond
	// cancelPrefix and jobPrefix begin the keys of the records of cancellations and of jobs.
	cancelPrefix = "cancel/"
	jobPrefix    = "job/"
	maxIDBytes   = 64
)

// RecordWriter stores records durably.
type RecordWriter interface {
	// Put returns inbox.ErrRefused or inbox.ErrTooLarge if the record is certain not to be stored, and another error if that is
	// unknown.
	Put(ctx context.Context, record ledger.Record) error
}

// Owner calls the node that owns the jobs.
type Owner interface {
	// State returns the state of a job, or ErrUnknownJob or ErrNoOwner.
	State(ctx context.Context, id model.JobID) (work.State, error)
	// Pending returns the number of jobs of a queue that have not started, or ErrNoOwner.
	Pending(ctx context.Context, queue string) (int, error)
	// Notify tells the owner of a stored job, so that it learns of the job before it reads it from the store.
	Notify(ctx context.Context, job work.Job) error
}

// Config configures an intake.
type Config struct {
	// Configuration returns the configuration in force, or false if none has been read yet.
	Configuration func() (terms.Configuration, bool)
	Records       RecordWriter
	Owner         Owner
	Log           *zap.Logger
}

// Intake handles the calls of clients.
type Intake struct{ cfg Config }

// New returns an intake.
func New(cfg Config) *Intake { return &Intake{cfg} }

// Call is the target of a client's call and the key that it carries.
type Call struct {
	Host string
	Path string
	Key  string
}

// resolvedCall is a call whose queue and team have been found; id is the rest of its path.
type resolvedCall struct {
	queue         terms.Queue
	team          model.TeamID
	id            string
	configuration terms.Configuration
}

func (i *Intake) resolve(call Call) (resolvedCall, Outcome) {
	configuration, ok := i.cfg.Configuration()
	if !ok {
		return resolvedCall{}, RetryLater{"no configuration yet", retryAfter}
	}
	queue, ok := configuration.Route(call.Host, call.Path)
	if !ok {
		return resolvedCall{}, QueueNotFound{}
	}
	team, granted := configuration.TeamOf(call.Key)
	if !granted && !queue.Anonymous {
		return resolvedCall{}, Unauthorised{}
	}
	return resolvedCall{queue, team, call.Path[len(queue.Prefix):], configuration}, nil
}

// Precheck checks the queue, the key and the body size of a call before the body is parsed. It returns nil, or the outcome
// that refuses the call.
func (i *Intake) Precheck(call Call, bodyBytes int) Outcome {
	rc, refused := i.resolve(call)
	if refused != nil {
		return countOutcome("enter", refused)
	}
	if limit := rc.configuration.Limits.BodyBytes; limit > 0 && bodyBytes > limit {
		return countOutcome("enter", TooLarge{})
	}
	return nil
}

// submitSeconds measures how long it takes to store a submitted job.
var submitSeconds = metrics.NewHistogram(`aw_job_submit_seconds`)

// countOutcome counts the outcome of a call in the metrics and returns it.
func countOutcome(call string, o Outcome) Outcome {
	metrics.GetOrCreateCounter(fmt.Sprintf(`aw_client_calls_total{call=%q,outcome=%q}`, call, metricLabel(o))).Inc()
	return o
}

// Submit stores a job under the identifier in the call's path. Submitting an identifier again doesn't create a second job.
func (i *Intake) Submit(ctx context.Context, call Call, job work.Job) Outcome {
	return countOutcome("submit", i.submit(ctx, call, job))
}

func (i *Intake) submit(ctx context.Context, call Call, job work.Job) Outcome {
	rc, refused := i.resolve(call)
	if refused != nil {
		return refused
	}
	if !validID(rc.id) {
		return Invalid{"malformed job identifier"}
	}
	job.ID, job.Queue, job.Team, job.Accepted = model.JobID(rc.id), rc.queue.Name, rc.team, time.Now()
	job.QueueTerms = work.NewQueueTerms(rc.queue)
	if err := job.Validate(); err != nil {
		i.cfg.Log.Info("job refused", zap.String("job", rc.id), zap.String("queue", rc.queue.Name), zap.Error(err))
		return Invalid{err.Error()}
	}
	value, err := job.Encode()
	if err != nil {
		return Invalid{err.Error()}
	}
	begun := time.Now()
	outcome := i.put(ctx, ledger.Record{Key: jobPrefix + rc.id, Value: value})
	if refused, ok := outcome.(RetryLater); ok {
		refused.RetryAfter = retryDelay(job, rc.queue)
		outcome = refused
	}
	if _, ok := outcome.(Accepted); ok {
		go i.runNotify(job)
	}
	submitSeconds.UpdateDuration(begun)
	i.cfg.Log.Info("job submitted", zap.String("job", rc.id), zap.String("queue", rc.queue.Name),
		zap.String("team", string(rc.team)), zap.Int64("config-version", rc.configuration.Version),
		zap.Duration("took", time.Since(begun)), zap.String("outcome", logOutcome(outcome)))
	return outcome
}

// runNotify tells the owner of a stored job. If that fails, the owner reads the job from the store later.
func (i *Intake) runNotify(job work.Job) {
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	if err := i.cfg.Owner.Notify(ctx, job); err != nil {
		i.cfg.Log.Debug("owner not notified", zap.String("job", string(job.ID)), zap.Error(err))
	}
}

// retryDelay returns how long a client should wait before it submits the job again.
func retryDelay(job work.Job, queue terms.Queue) time.Duration {
	objective := float64(job.CriticalPathTime(0))*queue.Stretch + float64(queue.Latency)
	return min(max(time.Duration(objective*retryAfterFraction), retryAfter), maxRetryAfter)
}

// Cancel stores the cancellation of a job.
func (i *Intake) Cancel(ctx context.Context, call Call) Outcome {
	return countOutcome("cancel", i.cancel(ctx, call))
}

func (i *Intake) cancel(ctx context.Context, call Call) Outcome {
	rc, refused := i.resolve(call)
	if refused != nil {
		return refused
	}
	if !validID(rc.id) {
		return JobNotFound{}
	}
	outcome := i.put(ctx, ledger.Record{Key: cancelPrefix + rc.id, Value: []byte{1}})
	i.cfg.Log.Info("cancellation submitted", zap.String("job", rc.id), zap.String("outcome", logOutcome(outcome)))
	return outcome
}

func (i *Intake) put(ctx context.Context, record ledger.Record) Outcome {
	err := i.cfg.Records.Put(ctx, record)
	switch {
	case err == nil:
		return Accepted{}
	case errors.Is(err, inbox.ErrTooLarge):
		return TooLarge{}
	case errors.Is(err, inbox.ErrRefused):
		return RetryLater{"store unavailable", retryAfter}
	default:
		return InDoubt{err.Error()}
	}
}

// Query returns the state of the job in the call's path, or the length of the queue if the path names no job.
func (i *Intake) Query(ctx context.Context, call Call) Outcome {
	return countOutcome("look", i.query(ctx, call))
}

func (i *Intake) query(ctx context.Context, call Call) Outcome {
	rc, refused := i.resolve(call)
	if refused != nil {
		return refused
	}
	if rc.id == "" {
		n, err := i.cfg.Owner.Pending(ctx, rc.queue.Name)
		if err != nil {
			return RetryLater{err.Error(), retryAfter}
		}
		return QueueLength{n}
	}
	if !validID(rc.id) {
		return JobNotFound{}
	}
	state, err := i.cfg.Owner.State(ctx, model.JobID(rc.id))
	switch {
	case err == nil:
		return JobState{state}
	case errors.Is(err, ErrUnknownJob):
		i.cfg.Log.Info("job unknown", zap.String("job", rc.id))
		return JobNotFound{}
	default:
		i.cfg.Log.Info("job state not available", zap.String("job", rc.id), zap.Error(err))
		return RetryLater{err.Error(), retryAfter}
	}
}

// validID reports whether an identifier is safe in record keys and task names.
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

func logOutcome(o Outcome) string {
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

// ParseRecordKey returns the job that a stored record is about; cancelled is true if the record is a cancellation.
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

// RecordKeys returns the keys of all records about a job.
func RecordKeys(id string) []string { return []string{jobPrefix + id, cancelPrefix + id} }
