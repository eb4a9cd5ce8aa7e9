package shard

import (
	"time"

	"arbutuswing.example/internal/work"
)

const (
	// clockDrift is how much slower a worker's clock may run, as a fraction.
	clockDrift = 0.02
	// lapseMargin covers the rounding of clocks when a lease is taken as lapsed.
	lapseMargin = 150 * time.Millisecond
	// retryOrder is the pause before a command without an answer is repeated.
	commandRetryDelay = 150 * time.Millisecond
	// gangBreakGrace is the time in which workers end the members of a broken gang by themselves.
	gangStopGrace = 200 * time.Millisecond
	// suspectAfter is the silence after which a worker gets no new tasks: two missed reports.
	suspectAfter = 2500 * time.Millisecond
	// ticketMargin is the least validity of a ticket with which a start is decided, beside the time of the commit: it covers
	// the call.
	ticketMargin = 250 * time.Millisecond
	// stalledAfter is how long a commit may be under way before no further starts are decided: tickets would lapse.
	maxCommitTime = 800 * time.Millisecond
	// quarantineTime is how long a worker that keeps failing gets no tasks of jobs that have failed before.
	quarantineTime = 4 * time.Second
	// quarantineAfter is how many failures in a row, of different jobs, put a worker into quarantine.
	quarantineThreshold = 2
	// stallAfter is how long a run may show no progress before it is stopped and started elsewhere.
	stallTimeout = 2500 * time.Millisecond
	// stallEvery is how often stalled runs are sought: a fraction of the time after which they count as stalled.
	stallCheckInterval = 250 * time.Millisecond
	// gangRetry and lateRetry are the shortest pauses between tries of a gang, and of work that is late anyway, for which
	// room has become free: there may be hundreds of them.
	gangRetryDelay = 50 * time.Millisecond
	lateRetryDelay = 250 * time.Millisecond
	// preemptRetry is the pause of a stage between searches for work to stop.
	preemptRetryDelay = 250 * time.Millisecond
	// estimateTrust is the share of the estimated run time that work needs at least: estimates are often twice too high.
	minRunTimeShare = 0.6
	// commitDelay is how long ends that nobody waits for are gathered before they are recorded.
	commitDelay = 60 * time.Millisecond
	// dropDelay is how long submissions that need no longer be kept are gathered.
	dropDelay = time.Second
	// minSurplusBurst is the burst of a team's rate for owed jobs, in jobs.
	minShareBurst = 2
	// scanLimit bounds how many waiting stages are tried in one pass.
	maxStagesPerPlan = 400
	// restoredAge bounds the age that a job from a former owner is given, because clocks of instances differ.
	maxRestoredAge = 30 * time.Second
)

// Config describes a shard.
type Config struct {
	// Token is the fencing token of this ownership.
	Token int64
	// Lease is the lease that a worker gets with each hold.
	Lease time.Duration
	// MaxLease is the longest lease that a worker grants to any owner.
	MaxLease time.Duration
	// RenewLimit is how long a former owner may have gone on renewing leases after it lost its ownership.
	RenewLimit time.Duration
	// KillGrace is how long a stopped run may take to end.
	KillGrace time.Duration
	// RestoreTime is how long a run takes to resume from its checkpoint.
	RestoreTime time.Duration
	// GangTimeout is how long a member of a gang waits at its worker for the others.
	GangTimeout time.Duration
	// Retention is how long a final job is still known.
	Retention time.Duration
	// Events receives each decision; it may be nil.
	Events func(Event)
}

// Names of events that carry a time in milliseconds: from taking a job in to its first start, and to its completion.
const (
	EventJobStarted   = "job-begun"
	EventJobCompleted = "job-completed"
)

// Event is a decision or a changed belief, for the log.
type Event struct {
	Name   string
	Job    string
	Task   string
	Worker string
	Detail string
	// Value is a figure that decided, with its meaning told by the name.
	Value int64
}

// Commands are the commands that may be carried out now.
type Commands struct {
	Starts      []StartCommand
	Stops       []StopCommand
	AdviceCalls []AdviceCall
}

// Commit is what has to be recorded: the whole progress of each changed job, and the jobs to drop.
type Commit struct {
	Number   uint64
	Progress []JobProgress
	// Dropped names final jobs whose submission needs no longer be kept.
	Dropped []string
	// Expired names final jobs that need no longer be known.
	Expired []string
}

// JobProgress is the progress of one job.
type JobProgress struct {
	ID       string
	Progress work.Progress
}

// Empty reports whether there is nothing to record.
func (c Commit) Empty() bool { return len(c.Progress)+len(c.Dropped)+len(c.Expired) == 0 }
