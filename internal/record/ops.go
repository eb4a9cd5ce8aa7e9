package record

import (
	"encoding/json"

	"arbutuswing.example/internal/model"
)

// Op is one operation of an envelope; the types of this package are the only implementations. Their names follow the
// stored kinds.
type Op interface{ op() }

// Kind names an operation in the encoding.
type Kind string

// Kinds of operations.
const (
	KindMemberJoined    Kind = "member-joined"
	KindMemberLeft      Kind = "member-left"
	KindChange          Kind = "change"
	KindProposal        Kind = "proposal"
	KindVerdict         Kind = "verdict"
	KindJobAccepted     Kind = "job-accepted"
	KindJobCancelled    Kind = "job-cancelled"
	KindJobRefused      Kind = "job-refused"
	KindWorkerSeen      Kind = "worker-seen"
	KindWorkerSuspected Kind = "worker-suspected"
	KindWorkerCleared   Kind = "worker-cleared"
	KindWorkerLost      Kind = "worker-lost"
	KindTaken           Kind = "taken"
	KindPulled          Kind = "pulled"
	KindEnded           Kind = "ended"
	KindSnapshotPart    Kind = "snapshot-part"
)

// MemberJoined adds an entry instance; a newer incarnation replaces an older one.
type MemberJoined struct {
	Instance    model.InstanceID   `json:"instance"`
	Incarnation model.Incarnation  `json:"incarnation"`
	DataCentre  model.DataCentreID `json:"data-centre"`
	// PeerAddress and AdminAddress are host:port.
	PeerAddress  string `json:"peer-address"`
	AdminAddress string `json:"admin-address"`
}

// MemberLeft removes one incarnation of an entry instance.
type MemberLeft struct {
	Instance    model.InstanceID  `json:"instance"`
	Incarnation model.Incarnation `json:"incarnation"`
}

// Change modifies declarations; Base is the offset of the change that was in force when its author wrote it.
type Change struct {
	ID       string          `json:"id"`
	Base     model.Offset    `json:"base"`
	Author   string          `json:"author"`
	Reason   string          `json:"reason,omitempty"`
	Contents json.RawMessage `json:"contents"`
}

// Proposal is a change that needs the approval of the organisations whose teams' terms it affects.
type Proposal struct {
	Change Change `json:"change"`
}

// Verdict is an organisation's approval or rejection of a proposal.
type Verdict struct {
	Proposal     string               `json:"proposal"`
	Organisation model.OrganisationID `json:"organisation"`
	Key          model.KeyHash        `json:"key"`
	Approve      bool                 `json:"approve"`
}

// JobAccepted adds a job and queues its tasks.
type JobAccepted struct {
	Spec model.JobSpec `json:"spec"`
	// Key is the hash of the team key that came with the submission.
	Key model.KeyHash `json:"key,omitempty"`
	// Submitted is the writer's wall clock in nanoseconds since 1970.
	Submitted int64 `json:"submitted"`
}

// JobCancelled ends the queued tasks of a job and marks its bound and pulled tasks for stopping.
type JobCancelled struct {
	Job model.JobID   `json:"job"`
	Key model.KeyHash `json:"key,omitempty"`
}

// JobRefused ends all tasks of a job that can never run; it has no effect if one of them is not queued or may have run.
type JobRefused struct {
	Job    model.JobID `json:"job"`
	Reason string      `json:"reason"`
}

// WorkerSeen records a worker's boot and capacity; a new boot ends the attempts of the earlier one.
type WorkerSeen struct {
	Worker     model.WorkerID     `json:"worker"`
	Boot       model.BootID       `json:"boot"`
	Capacity   model.Resources    `json:"capacity"`
	DataCentre model.DataCentreID `json:"data-centre"`
	Rack       model.RackID       `json:"rack"`
}

// WorkerSuspected declares a worker unreachable: the holder of its lease stops extending the task leases on it.
type WorkerSuspected struct {
	Worker model.WorkerID `json:"worker"`
	Boot   model.BootID   `json:"boot"`
}

// WorkerCleared withdraws a suspicion.
type WorkerCleared struct {
	Worker model.WorkerID `json:"worker"`
	Boot   model.BootID   `json:"boot"`
}

// WorkerLost ends all attempts on a worker whose task leases have expired.
type WorkerLost struct {
	Worker model.WorkerID `json:"worker"`
	Boot   model.BootID   `json:"boot"`
	// Suspicion is the offset of the WorkerSuspected record of the same writer.
	Suspicion model.Offset `json:"suspicion"`
}

// Taken binds an attempt to a worker and its boot.
type Taken struct {
	Attempt     model.AttemptID `json:"attempt"`
	Worker      model.WorkerID  `json:"worker"`
	Boot        model.BootID    `json:"boot"`
	Reservation model.Resources `json:"reservation"`
	// Behind puts the attempt into the worker's backlog: no capacity is reserved for it yet, and it starts when
	// capacity becomes free.
	Behind bool `json:"behind,omitempty"`
	// Gang is the number of members of an all-at-once job that are bound in the same envelope; zero for other jobs.
	Gang int `json:"gang,omitempty"`
}

// Pulled assigns a queued task of an open queue to a team's own runner.
type Pulled struct {
	Attempt model.AttemptID `json:"attempt"`
	// Key is the hash of the team key that came with the call.
	Key model.KeyHash `json:"key"`
	// Lease is how long the runner may keep the task without reporting.
	Lease model.Duration `json:"lease"`
}

// Ended records the end of an attempt.
type Ended struct {
	Attempt    model.AttemptID `json:"attempt"`
	Worker     model.WorkerID  `json:"worker"`
	Outcome    model.Outcome   `json:"outcome"`
	Usage      model.Usage     `json:"usage"`
	Checkpoint model.Duration  `json:"checkpoint,omitempty"`
}

// SnapshotPart is one part of the encoded state after the record at offset At; parts are numbered from 1.
type SnapshotPart struct {
	At    model.Offset `json:"at"`
	Part  int          `json:"part"`
	Parts int          `json:"parts"`
	Data  []byte       `json:"data"`
}

func (MemberJoined) op()    {}
func (MemberLeft) op()      {}
func (Change) op()          {}
func (Proposal) op()        {}
func (Verdict) op()         {}
func (JobAccepted) op()     {}
func (JobCancelled) op()    {}
func (JobRefused) op()      {}
func (WorkerSeen) op()      {}
func (WorkerSuspected) op() {}
func (WorkerCleared) op()   {}
func (WorkerLost) op()      {}
func (Taken) op()           {}
func (Pulled) op()          {}
func (Ended) op()           {}
func (SnapshotPart) op()    {}
