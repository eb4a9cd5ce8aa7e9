package peer

import (
	"context"
	"errors"
	"time"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/once"
	"arbutuswing.example/internal/ports"
)

// Errors of calls to peers.
var (
	// ErrUnreachable reports that no answer from the peer arrived in time; the call may have taken effect.
	ErrUnreachable = errors.New("peer unreachable")
	// ErrRefused reports that the peer answered with an error that has no sentinel error of its own.
	ErrRefused = errors.New("peer refused the call")
	// ErrNotReady reports that the peer has no state to serve yet.
	ErrNotReady = errors.New("peer has no state yet")
)

// Sender identifies one incarnation of an entry instance.
type Sender struct {
	Instance    model.InstanceID  `json:"instance"`
	Incarnation model.Incarnation `json:"incarnation"`
}

// Status is what an instance reports about itself, or about another instance of its own data centre.
type Status struct {
	Sender
	DataCentre  model.DataCentreID `json:"data-centre"`
	PeerAddress string             `json:"peer-address"`
	// Applied is the offset of the last record applied to the state, or model.NoOffset.
	Applied model.Offset `json:"applied"`
	// LogAnswers is set if the instance itself can read the log; it is not set if the instance reads through a peer.
	LogAnswers bool `json:"log-answers"`
	// Ready is set if the instance has a state, so that it can serve a snapshot.
	Ready bool `json:"ready"`
	// Load is the number of requests in flight.
	Load int64 `json:"load"`
	// Leaving is set during a planned shutdown.
	Leaving bool `json:"leaving,omitempty"`
	// Age is how old the information was when it was sent; zero if it is about the sender itself.
	Age time.Duration `json:"age,omitempty"`
	// CurrentAge is how long before this status the state at Applied was last known to be up to date, which means that
	// it contained every record in the log; NeverCurrent if it never was.
	CurrentAge time.Duration `json:"current-age"`
}

// NeverCurrent is the CurrentAge of an instance whose state was never known to be up to date.
const NeverCurrent time.Duration = -1

// HeartbeatAnswer is the answer to a heartbeat.
type HeartbeatAnswer struct {
	Status Status `json:"status"`
	// Neighbours has the statuses of the other live instances in the data centre of the answering instance.
	Neighbours []Status `json:"neighbours,omitempty"`
}

// Snapshot is the encoded state after the record at offset At or a later one; the encoding contains its exact offset.
type Snapshot struct {
	At   model.Offset
	Data []byte
	// Recorded is the offset of the state in the newest complete snapshot in the log, or model.NoOffset.
	Recorded model.Offset
	// RecordedAge is the age of the newest complete snapshot in the log.
	RecordedAge time.Duration
}

// HeartbeatHandler answers heartbeats.
type HeartbeatHandler interface {
	HandleHeartbeat(ctx context.Context, from Status) (HeartbeatAnswer, error)
}

// Stream gives peers access to the log and to the state of the state machine.
type Stream interface {
	// ReadLog reads from the platform's log directly, never through another peer. With ports.ErrTruncated the batch
	// still contains First and Next.
	ReadLog(ctx context.Context, from model.Offset, limit int, wait time.Duration) (ports.Batch, error)
	// AppendLog appends to the platform's log directly.
	AppendLog(ctx context.Context, data []byte) (model.Offset, error)
	// Snapshot returns the state of the state machine, or ErrNotReady.
	Snapshot(ctx context.Context) (Snapshot, error)
}

// RequestOwner decides claims for request IDs that this instance owns; *once.Service implements it.
type RequestOwner interface {
	Decide(req once.ClaimRequest) once.Status
	Finish(req once.SettleRequest)
	// Handoff returns once.ErrMembershipMismatch unless the membership at offset is the current one of this instance.
	Handoff(to once.Member, offset model.Offset) (once.Handoff, error)
}
