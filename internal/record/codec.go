package record

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"arbutuswing.example/internal/model"
)

// ErrMalformed reports a record that is not an envelope of this version.
var ErrMalformed = errors.New("malformed log record")

// Version is the version number of the encoding.
const Version = 1

// Envelope is one log record: the operations that a writer recorded with one append.
type Envelope struct {
	Writer      model.InstanceID
	Incarnation model.Incarnation
	// Sequence increases by one with each envelope of a writer's incarnation; a repeated append keeps its number.
	Sequence int64
	// Time is the writer's wall clock in nanoseconds since 1970.
	Time int64
	Ops  []Op
}

type wireEnvelope struct {
	Version     int               `json:"version"`
	Writer      model.InstanceID  `json:"writer"`
	Incarnation model.Incarnation `json:"incarnation"`
	Sequence    int64             `json:"sequence"`
	Time        int64             `json:"time"`
	Ops         []wireOp          `json:"ops"`
}

type wireOp struct {
	Kind Kind            `json:"kind"`
	Body json.RawMessage `json:"body"`
}

// Encode returns the encoded envelope.
func Encode(env Envelope) ([]byte, error) {
	wire := wireEnvelope{
		Version: Version, Writer: env.Writer, Incarnation: env.Incarnation, Sequence: env.Sequence, Time: env.Time,
		Ops: make([]wireOp, 0, len(env.Ops)),
	}
	for _, op := range env.Ops {
		body, err := json.Marshal(op)
		if err != nil {
			return nil, fmt.Errorf("encoding %s: %w", KindOf(op), err)
		}
		wire.Ops = append(wire.Ops, wireOp{Kind: KindOf(op), Body: body})
	}
	return json.Marshal(wire)
}

// Decode parses an envelope. It returns ErrMalformed for unknown kinds and fields too, so that an old program version
// stops instead of computing a state that differs from the other instances'.
func Decode(data []byte) (Envelope, error) {
	var wire wireEnvelope
	if err := json.Unmarshal(data, &wire); err != nil {
		return Envelope{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if wire.Version != Version {
		return Envelope{}, fmt.Errorf("%w: version %d", ErrMalformed, wire.Version)
	}
	env := Envelope{
		Writer: wire.Writer, Incarnation: wire.Incarnation, Sequence: wire.Sequence, Time: wire.Time,
		Ops: make([]Op, 0, len(wire.Ops)),
	}
	for _, op := range wire.Ops {
		decoded, err := decodeOp(op)
		if err != nil {
			return Envelope{}, err
		}
		env.Ops = append(env.Ops, decoded)
	}
	return env, nil
}

// KindOf returns the kind of an operation.
func KindOf(op Op) Kind {
	switch op.(type) {
	case MemberJoined:
		return KindMemberJoined
	case MemberLeft:
		return KindMemberLeft
	case Change:
		return KindChange
	case Proposal:
		return KindProposal
	case Verdict:
		return KindVerdict
	case JobAccepted:
		return KindJobAccepted
	case JobCancelled:
		return KindJobCancelled
	case JobRefused:
		return KindJobRefused
	case WorkerSeen:
		return KindWorkerSeen
	case WorkerSuspected:
		return KindWorkerSuspected
	case WorkerCleared:
		return KindWorkerCleared
	case WorkerLost:
		return KindWorkerLost
	case Taken:
		return KindTaken
	case Pulled:
		return KindPulled
	case Ended:
		return KindEnded
	case SnapshotPart:
		return KindSnapshotPart
	default:
		return ""
	}
}

func decodeOp(op wireOp) (Op, error) {
	switch op.Kind {
	case KindMemberJoined:
		return decodeBody[MemberJoined](op)
	case KindMemberLeft:
		return decodeBody[MemberLeft](op)
	case KindChange:
		return decodeBody[Change](op)
	case KindProposal:
		return decodeBody[Proposal](op)
	case KindVerdict:
		return decodeBody[Verdict](op)
	case KindJobAccepted:
		return decodeBody[JobAccepted](op)
	case KindJobCancelled:
		return decodeBody[JobCancelled](op)
	case KindJobRefused:
		return decodeBody[JobRefused](op)
	case KindWorkerSeen:
		return decodeBody[WorkerSeen](op)
	case KindWorkerSuspected:
		return decodeBody[WorkerSuspected](op)
	case KindWorkerCleared:
		return decodeBody[WorkerCleared](op)
	case KindWorkerLost:
		return decodeBody[WorkerLost](op)
	case KindTaken:
		return decodeBody[Taken](op)
	case KindPulled:
		return decodeBody[Pulled](op)
	case KindEnded:
		return decodeBody[Ended](op)
	case KindSnapshotPart:
		return decodeBody[SnapshotPart](op)
	default:
		return nil, fmt.Errorf("%w: operation %q", ErrMalformed, op.Kind)
	}
}

func decodeBody[T Op](op wireOp) (Op, error) {
	var body T
	decoder := json.NewDecoder(bytes.NewReader(op.Body))
	// An unknown field belongs to a newer version, which may apply the operation in a different way.
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrMalformed, op.Kind, err)
	}
	return body, nil
}
