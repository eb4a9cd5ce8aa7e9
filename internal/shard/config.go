package shard

import (
	"time"

	"arbutuswing.example/internal/work"
)

const (
	// clockDrift is the fraction by which a worker's clock may run slower than the owner's.
	clockDrift = 0.02
	// minRenewInterval and maxRenewInterval bound the time between two renewals of a worker's lease.
	minRenewInterval = time.Second
	maxRenewInterval = 2 * time.Second
	// toleratedSilence is how long a lease should outlast the last report, as far as its longest duration allows.
	toleratedSilence = 6 * time.Second
	// leaseExpiryMargin is added before a lease counts as expired, to allow for rounding of clock readings.
	leaseExpiryMargin = 150 * time.Millisecond
	// commandRetryDelay is the pause before a command that went unanswered is sent again.
	commandRetryDelay = 150 * time.Millisecond
	// maxCommandDelay is how long a command without an answer may take to reach its worker.
	maxCommandDelay = 15 * time.Second
	// unlistedGrace is how long the entry of a worker that lives may be missing from the registry while the registry is read.
	unlistedGrace = 3 * time.Second
	// registryInterruption is the pause between two reads of the registry from which on it counts as unavailable meanwhile.
	registryInterruption = time.Second
	// gangStopGrace is how long workers have to stop the members of a broken gang themselves before stop commands are
	// sent.
	gangStopGrace = 200 * time.Millisecond
	// suspectAfter is how long a worker may be silent before it gets no new tasks: two missed reports.
	suspectAfter = 2500 * time.Millisecond
	// ticketMargin is the remaining validity that a ticket needs for a start, in addition to the expected commit time.
	// It covers the start command itself.
	ticketMargin = 250 * time.Millisecond
	// maxCommitTime is how long a commit may be in progress before no further starts are decided, because their tickets
	// would expire.
	maxCommitTime = 800 * time.Millisecond
	// quarantineTime is how long a quarantined worker gets no tasks.
	quarantineTime = 4 * time.Second
	// quarantineThreshold is the number of consecutive failures, each of a different job, that puts a worker into
	// quarantine.
	quarantineThreshold = 2
	// stallTimeout is how long a run may at least show no progress before it is stopped and started elsewhere.
	stallTimeout = 2500 * time.Millisecond
	// stallPercents is for how many percent of its estimated run time a run may show no progress, and stallGaps for how many times
	// its longest gap between two percents so far. Estimates are often far too low.
	stallPercents = 12
	stallGaps     = 4
	// maxStallDoublings bounds how often the time is doubled for a task that was stopped for want of progress.
	maxStallDoublings = 10
	// leaseCheckInterval is the interval of checks for expired leases, which a lease's margin allows for.
	leaseCheckInterval = 20 * time.Millisecond
	// stallCheckInterval is the interval of checks for stalled runs, a fraction of stallTimeout.
	stallCheckInterval = 250 * time.Millisecond
	// gangRetryDelay and lateRetryDelay are the minimum pauses between attempts to place a gang, and a stage that will
	// miss its objective, when capacity becomes free. There may be hundreds of such stages. A stage that waits for
	// capacity is considered again after lateRetryDelay even if none has become free.
	gangRetryDelay = 50 * time.Millisecond
	lateRetryDelay = 250 * time.Millisecond
	// noWorkerRetryDelay is the pause between attempts to place a stage that no worker can run, until one gains capacity.
	noWorkerRetryDelay = 500 * time.Millisecond
	// maxGangRetryDelay bounds the pause between attempts to place a gang, however many gangs are ahead of it.
	maxGangRetryDelay = 2 * time.Second
	// gangsPerRetryDelay is how many waiting gangs add another gangRetryDelay to the pause of those behind them.
	gangsPerRetryDelay = 2
	// preemptRetryDelay is the minimum pause between a stage's searches for runs to preempt.
	preemptRetryDelay = 250 * time.Millisecond
	// minRunTimeShare is the share of the estimated run time that a stage is assumed to need at least. Estimates are
	// often twice too high.
	minRunTimeShare = 0.6
	// commitDelay is how long changes that nothing waits for are collected before they are committed.
	commitDelay = 60 * time.Millisecond
	// dropDelay is how long final jobs are collected before their submissions are deleted.
	dropDelay = time.Second
	// minShareBurst is the minimum burst, in jobs, of the token bucket for a team's share.
	minShareBurst = 2
	// maxStagesPerPlan bounds how many waiting stages are considered in one pass in the order of their urgency, and
	// maxInTurnPerPlan how many of the blocked stages, and of those that come after, are considered in turn.
	maxStagesPerPlan = 400
	maxInTurnPerPlan = 100
	// defaultTasksPerRecord is the default of Config.TasksPerRecord.
	defaultTasksPerRecord = 64
	// maxRestoredAge bounds the age of a job restored from a former owner's records, because the clocks of instances
	// differ.
	maxRestoredAge = 30 * time.Second
)

// Config configures a shard.
type Config struct {
	// Epoch is the epoch of the ownership, the upper part of the owner's fencing tokens.
	Epoch int64
	// Lease is the duration of the lease that each heartbeat grants to a worker.
	Lease time.Duration
	// MaxLease is the longest lease that a worker accepts from any owner.
	MaxLease time.Duration
	// RenewLimit is how long a former owner may have continued to renew leases after it lost ownership.
	RenewLimit time.Duration
	// KillGrace is how long a stopped run may take to end.
	KillGrace time.Duration
	// RestoreTime is how long a run takes to resume from its checkpoint.
	RestoreTime time.Duration
	// GangTimeout is how long a gang member waits on its worker for the other members.
	GangTimeout time.Duration
	// Retention is how long a final job is kept.
	Retention time.Duration
	// TasksPerRecord is how many tasks of a job one progress record holds at most; zero means 64. The records of running jobs
	// were written with it, so it must not change while there are any.
	TasksPerRecord int
	// Events receives an event for each decision; it may be nil.
	Events func(Event)
}

// RenewInterval returns the time between two renewals of a worker's lease.
func (c Config) RenewInterval() time.Duration {
	return min(max(c.Lease-toleratedSilence, minRenewInterval), maxRenewInterval)
}

// Events whose value is a time in milliseconds since the job was received: until its first task started, and until it
// completed.
const (
	EventJobStarted   = "job-begun"
	EventJobCompleted = "job-completed"
)

// Events about runs that counted as ended though no worker had reported their end. The value is a time in milliseconds: from the
// presumed end to the report that refutes it, and from the expiry of a worker's lease to the presumed ends that its report
// confirms.
const (
	EventPresumedEndRefuted    = "presumed-end-refuted"
	EventPresumedEndsConfirmed = "presumed-ends-confirmed"
)

// Event describes a decision or an observed change, for the log and the metrics.
type Event struct {
	Name   string
	Job    string
	Task   string
	Worker string
	Detail string
	// Value is a number that belongs to the event; its meaning depends on the event's name.
	Value int64
}

// Commands holds the commands that may be sent now.
type Commands struct {
	Starts []StartCommand
	Stops  []StopCommand
}

// Commit holds what has to be recorded: the progress records that have changed, and the jobs to delete.
type Commit struct {
	Number   uint64
	Progress []JobProgress
	// Dropped lists the final jobs whose submissions can be deleted.
	Dropped []string
	// Expired lists the final jobs whose progress records can be deleted.
	Expired []string
}

// JobProgress is a progress record of a job. Part is the part of the tasks that it holds, counted from 1, or 0 for the main
// record; a part without tasks is deleted.
type JobProgress struct {
	ID       string
	Part     int
	Progress work.Progress
}

// Deleted reports whether the record is to be deleted.
func (p JobProgress) Deleted() bool { return p.Part > 0 && len(p.Progress.Tasks) == 0 }

// Empty reports whether there is nothing to record.
func (c Commit) Empty() bool { return len(c.Progress)+len(c.Dropped)+len(c.Expired) == 0 }
