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
	// ErrUnreachable reports that the peer gave no answer in time; the call may have taken effect.
	ErrUnreachable = errors.New("peer unreachable")
	// ErrRefused reports that the peer answered with an error.
	ErrRefused = errors.New("peer refused the call")
	// ErrNotReady reports that the peer has no state to serve yet.
	ErrNotReady = errors.New("peer has no state yet")
)

// Sender identifies one incarnation of an entry instance.
type Sender struct {
	Instance    model.InstanceID  `json:"instance"`
	Incarnation model.Incarnation `json:"incarnation"`
}

// Status is what an instance tells about itself, or about another instance of its own data centre.
type Status struct {
	Sender
	DataCentre  model.DataCentreID `json:"data-centre"`
	PeerAddress string             `json:"peer-address"`
	// Applied is the offset of the last envelope folded, or model.NoOffset.
	Applied model.Offset `json:"applied"`
	// LogAnswers tells whether the instance itself reads the log; a relayed instance says no.
	LogAnswers bool `json:"log-answers"`
	// Ready tells whether the instance can serve a snapshot.
	Ready bool `json:"ready"`
	// Load is the number of requests in flight.
	Load int64 `json:"load"`
	// Leaving is set during a planned shutdown.
	Leaving bool `json:"leaving,omitempty"`
	// Age is how old the information was when it was sent; zero for the sender's own status.
	Age time.Duration `json:"age,omitempty"`
	// CurrentAge tells how long before the time of this status the state at Applied was last known to contain
	// everything recorded; NeverCurrent if it never was.
	CurrentAge time.Duration `json:"current-age"`
}

// NeverCurrent is the CurrentAge of an instance whose state was never known to be the newest.
const NeverCurrent time.Duration = -1

// HeartbeatAnswer is the answer to a heartbeat.
type HeartbeatAnswer struct {
	Status Status `json:"status"`
	// Neighbours are the other live instances of the responder's data centre.
	Neighbours []Status `json:"neighbours,omitempty"`
}

// Snapshot is the encoded state after the record at offset At or a later one.
type Snapshot struct {
	At   model.Offset
	Data []byte
	// Recorded is the offset that the newest whole snapshot in the log describes, or model.NoOffset.
	Recorded model.Offset
	// RecordedAge is the age of that snapshot.
	RecordedAge time.Duration
}

// HeartbeatHandler answers heartbeats.
type HeartbeatHandler interface {
	HandleHeartbeat(ctx context.Context, from Status) (HeartbeatAnswer, error)
}

// Stream gives peers access to the log and to the folded state.
type Stream interface {
	// ReadLog reads from the platform's log itself, never through another peer; with ports.ErrTruncated the batch
	// still holds First and Next.
	ReadLog(ctx context.Context, from model.Offset, limit int, wait time.Duration) (ports.Batch, error)
	// AppendLog appends to the platform's log itself.
	AppendLog(ctx context.Context, data []byte) (model.Offset, error)
	// Snapshot returns the folded state, or ErrNotReady.
	Snapshot(ctx context.Context) (Snapshot, error)
}

// RequestOwner owns request IDs; *once.Service implements it.
type RequestOwner interface {
	Decide(req once.ClaimRequest) once.Status
	Finish(req once.SettleRequest)
	// Handoff returns once.ErrBehind unless this instance holds the membership at offset.
	Handoff(to once.Member, offset model.Offset) (once.Handoff, error)
}
