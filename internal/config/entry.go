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
	// CallerAddress is the IP:port on which the instance serves clients; the IP may be unspecified, such as 0.0.0.0.
	CallerAddress string `json:"caller-address" jsonschema:"required"`
	// AdminAddress is the IP:port of the operator API; it is recorded in the replicated log, where other instances read it.
	AdminAddress string `json:"admin-address" jsonschema:"required"`
	// PeerAddress is the IP:port on which other entry instances connect to this one.
	PeerAddress string `json:"peer-address" jsonschema:"required"`
	// Platform is the URL of the platform, such as http://127.0.0.1:7000.
	Platform string `json:"platform" jsonschema:"required"`
	// OperatorKey is the SHA-256 of the operator key in lower-case hexadecimal.
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
	// Worker is how long a worker lease lasts unless it is renewed.
	Worker model.Duration `json:"worker,omitempty"`
	// Renew is the interval between renewals of a worker lease.
	Renew model.Duration `json:"renew,omitempty"`
	// Task is how long a worker continues to run a task whose task lease is not extended.
	Task model.Duration `json:"task,omitempty"`
	// Freshness is the maximum age of a lease holder's view of the replicated log for it to renew leases.
	Freshness model.Duration `json:"freshness,omitempty"`
	// Margin is the allowance for clock drift and process pauses before a suspected worker counts as lost.
	Margin model.Duration `json:"margin,omitempty"`
	// Isolation is how long tasks in a cut-off data centre continue to run.
	Isolation model.Duration `json:"isolation,omitempty"`
}

// Stream holds the settings of access to the replicated log.
type Stream struct {
	// Commit is the commit interval per instance that may append to the log. The interval is this times the number of members,
	// dead ones included, and of live instances that are not recorded as members yet, up to commit-max.
	Commit model.Duration `json:"commit,omitempty"`
	// CommitMax is the longest commit interval.
	CommitMax model.Duration `json:"commit-max,omitempty"`
	// ReadWait is how long a read of the log waits for a new record.
	ReadWait model.Duration `json:"read-wait,omitempty"`
	// RetryFirst is the delay before the first retry of an append or read; later delays grow exponentially, with jitter.
	RetryFirst model.Duration `json:"retry-first,omitempty"`
	// RetryMax is the longest delay before a retry of an append or read.
	RetryMax model.Duration `json:"retry-max,omitempty"`
	// Retention is how long the platform keeps records. A new snapshot is due when the last one is a third of this old.
	Retention model.Duration `json:"retention,omitempty"`
	// SnapshotRecords is the number of records after which a new snapshot is written.
	SnapshotRecords int `json:"snapshot-records,omitempty"`
	// Pending is the number of operations that may wait for a commit; further ones are refused.
	Pending int `json:"pending,omitempty"`
}

// Member holds the settings of heartbeats and connectivity.
type Member struct {
	// Beat is the interval between heartbeats.
	Beat model.Duration `json:"beat,omitempty"`
	// Timeout is how long one heartbeat call may take.
	Timeout model.Duration `json:"timeout,omitempty"`
	// Dead is the time without a heartbeat after which a peer no longer counts as live.
	Dead model.Duration `json:"dead,omitempty"`
	// CutOff is how long a cut-off instance continues to start bound tasks and to serve classes that need team keys.
	CutOff model.Duration `json:"cut-off,omitempty"`
}

// Route holds the settings of requests to endpoints.
type Route struct {
	// Connections is the number of connections that an endpoint accepts from all entry instances together.
	Connections int `json:"connections,omitempty"`
	// Queue is the number of requests that may wait for an endpoint; further ones are refused.
	Queue int `json:"queue,omitempty"`
	// List is the interval at which the platform's instance list is read.
	List model.Duration `json:"list,omitempty"`
}

// Once holds the settings of requests that run at most once.
type Once struct {
	// Issued is how long a request ID issued by an entry instance is valid.
	Issued model.Duration `json:"issued,omitempty"`
	// Kept is how long a request ID chosen by a client is remembered after its request has ended.
	Kept model.Duration `json:"kept,omitempty"`
	// Entries is the number of request IDs that are remembered; requests with further ones are refused.
	Entries int `json:"entries,omitempty"`
}

// Sched holds the settings of the placer.
type Sched struct {
	// Round is the interval between rounds of placement decisions.
	Round model.Duration `json:"round,omitempty"`
	// Backlog is the run time of the work that may be bound to a worker behind its running tasks.
	Backlog model.Duration `json:"backlog,omitempty"`
	// QuarantineFailures is the number of consecutive failures after which a worker is put into quarantine.
	QuarantineFailures int `json:"quarantine-failures,omitempty"`
	// QuarantineJobs is the number of different jobs that these failures must involve.
	QuarantineJobs int `json:"quarantine-jobs,omitempty"`
	// QuarantineFirst is the duration of a worker's first quarantine; each further one is twice as long.
	QuarantineFirst model.Duration `json:"quarantine-first,omitempty"`
	// QuarantineMax is the longest duration of a quarantine.
	QuarantineMax model.Duration `json:"quarantine-max,omitempty"`
}

// Shutdown holds the settings of graceful shutdown.
type Shutdown struct {
	// Grace is how long requests in flight may take to finish after shutdown begins.
	Grace model.Duration `json:"grace,omitempty"`
}
