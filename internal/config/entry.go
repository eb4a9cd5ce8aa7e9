package config

import "arbutuswing.example/internal/model"

// Entry holds the settings of aw-entry.
type Entry struct {
	// Instance is the instance's name in the platform's list.
	Instance model.InstanceID `json:"instance" jsonschema:"required"`
	// DataCentre is the data centre that the instance runs in.
	DataCentre model.DataCentreID `json:"data-centre" jsonschema:"required"`
	// Region is the region of the data centre.
	Region string `json:"region" jsonschema:"required"`
	// CallerAddress is the IP:port on which callers are served; the IP may be unspecified.
	CallerAddress string `json:"caller-address" jsonschema:"required"`
	// AdminAddress is the IP:port of the operator API; it is recorded in the log for other instances.
	AdminAddress string `json:"admin-address" jsonschema:"required"`
	// PeerAddress is the IP:port on which other entry instances reach this one.
	PeerAddress string `json:"peer-address" jsonschema:"required"`
	// Platform is the URL of the platform, such as http://127.0.0.1:7000.
	Platform string `json:"platform" jsonschema:"required"`
	// OperatorKey is the SHA-256 of the operators' key in lower-case hexadecimal.
	OperatorKey model.KeyHash `json:"operator-key" jsonschema:"required"`
	// LogLevel is the lowest level of the events that are logged.
	LogLevel string `json:"log-level,omitempty" jsonschema:"enum=debug,enum=info,enum=warn,enum=error"`

	Lease    Lease    `json:"lease,omitzero"`
	Stream   Stream   `json:"stream,omitzero"`
	Member   Member   `json:"member,omitzero"`
	Route    Route    `json:"route,omitzero"`
	Once     Once     `json:"once,omitzero"`
	Sched    Sched    `json:"sched,omitzero"`
	Shutdown Shutdown `json:"shutdown,omitzero"`
}

// Lease holds the settings of worker leases and task leases; all entry instances must have the same.
type Lease struct {
	// Worker is how long a worker lease lasts without renewal.
	Worker model.Duration `json:"worker,omitempty"`
	// Renew is the interval between renewals.
	Renew model.Duration `json:"renew,omitempty"`
	// Task is how long a worker keeps a task running without an extension of its task lease.
	Task model.Duration `json:"task,omitempty"`
	// Freshness is the oldest view of the log with which a holder still renews.
	Freshness model.Duration `json:"freshness,omitempty"`
	// Margin covers clock drift and pauses before a suspected worker counts as lost.
	Margin model.Duration `json:"margin,omitempty"`
	// Isolation is how long a cut-off data centre keeps its tasks running.
	Isolation model.Duration `json:"isolation,omitempty"`
}

// Stream holds the settings of log access.
type Stream struct {
	// Commit is the commit interval per live member; the interval grows with the number of writers.
	Commit model.Duration `json:"commit,omitempty"`
	// CommitMax is the longest commit interval.
	CommitMax model.Duration `json:"commit-max,omitempty"`
	// ReadWait is how long a read of the log waits for a new record.
	ReadWait model.Duration `json:"read-wait,omitempty"`
	// RetryFirst is the first delay before an append or read is repeated; delays grow exponentially with jitter.
	RetryFirst model.Duration `json:"retry-first,omitempty"`
	// RetryMax is the longest delay before an append or read is repeated.
	RetryMax model.Duration `json:"retry-max,omitempty"`
	// Retention is how long the platform keeps records; a third of it is the greatest age of the last snapshot.
	Retention model.Duration `json:"retention,omitempty"`
	// SnapshotRecords is the number of records after which a new snapshot is written.
	SnapshotRecords int `json:"snapshot-records,omitempty"`
	// Pending is the number of operations that may wait for a commit; more are refused.
	Pending int `json:"pending,omitempty"`
}

// Member holds the settings of heartbeats and connectivity.
type Member struct {
	// Beat is the interval between heartbeats.
	Beat model.Duration `json:"beat,omitempty"`
	// Timeout is how long one heartbeat call may take.
	Timeout model.Duration `json:"timeout,omitempty"`
	// Dead is the silence after which a peer no longer counts as live.
	Dead model.Duration `json:"dead,omitempty"`
	// CutOff is how long a cut-off instance still starts bound tasks and serves classes that need keys.
	CutOff model.Duration `json:"cut-off,omitempty"`
}

// Route holds the settings of requests to endpoints.
type Route struct {
	// Connections is the number of connections that an endpoint accepts from all entry instances together.
	Connections int `json:"connections,omitempty"`
	// Queue is the number of requests that may wait for an endpoint; more are refused.
	Queue int `json:"queue,omitempty"`
	// List is the interval between reads of the platform's instance list.
	List model.Duration `json:"list,omitempty"`
}

// Once holds the settings of requests that run at most once.
type Once struct {
	// Issued is how long a request ID issued by an entry instance is valid.
	Issued model.Duration `json:"issued,omitempty"`
	// Kept is how long the entry of a caller's request ID outlives its request.
	Kept model.Duration `json:"kept,omitempty"`
	// Entries is the number of entries that are kept; more are refused.
	Entries int `json:"entries,omitempty"`
}

// Sched holds the settings of the placer.
type Sched struct {
	// Round is the interval between rounds of the placer loop.
	Round model.Duration `json:"round,omitempty"`
	// Backlog is the work, in run time, that stays bound behind the running tasks of a worker.
	Backlog model.Duration `json:"backlog,omitempty"`
	// QuarantineFailures is the number of consecutive failures that puts a worker into quarantine.
	QuarantineFailures int `json:"quarantine-failures,omitempty"`
	// QuarantineJobs is the number of jobs that these failures must span.
	QuarantineJobs int `json:"quarantine-jobs,omitempty"`
	// QuarantineFirst is the first quarantine; each further one is twice as long.
	QuarantineFirst model.Duration `json:"quarantine-first,omitempty"`
	// QuarantineMax is the longest quarantine.
	QuarantineMax model.Duration `json:"quarantine-max,omitempty"`
}

// Shutdown holds the settings of graceful shutdown.
type Shutdown struct {
	// Grace is how long requests in flight may take to finish.
	Grace model.Duration `json:"grace,omitempty"`
}
