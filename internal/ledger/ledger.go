package ledger

import (
	"context"
	"errors"
	"time"
)

var (
	// ErrRefused reports that a call had no effect because the store is overloaded, down or full.
	ErrRefused = errors.New("store refused the call")
	// ErrNoAnswer reports that a call got no answer; it may have taken effect or may still do so seconds later.
	ErrNoAnswer = errors.New("no answer from the store")
	// ErrFenced reports that a newer epoch of the producer exists.
	ErrFenced = errors.New("producer is fenced by a newer epoch")
	// ErrTrimmed reports that the store has deleted the requested records; it still has the newest record of each key.
	ErrTrimmed = errors.New("records were trimmed")
	// ErrProtocol reports an answer that can't be understood.
	ErrProtocol = errors.New("unexpected answer from the store")
)

// Topic names a partitioned topic; the store never deletes the newest record of a key.
type Topic string

// Record is one keyed record; a record without a value is a tombstone, which deletes the key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// MaxRecordBytes is the largest size of a record that stores accept. An append with a larger one fails as a whole, and fails
// again whenever it is repeated.
const MaxRecordBytes = 256 << 10

// Size returns the bytes of the record that count towards MaxRecordBytes.
func (r Record) Size() int { return 1 + len(r.Key) + len(r.Value) }

// Batch is a set of records that is appended atomically. Appending it again with the same producer, epoch and sequence
// has no further effect.
type Batch struct {
	Topic     Topic
	Partition int
	Producer  string
	Epoch     int64
	Sequence  int64
	Records   []Record
}

// Page is the result of a read.
type Page struct {
	Records []Record
	// Next is the offset from which to continue.
	Next int64
	// More tells that the store held further records when it answered, which the page leaves out.
	More bool
}

// Assignment lists the partitions that a group has assigned to a member.
type Assignment struct {
	// Generation increases whenever the group's members change.
	Generation int64
	Partitions []int
}

// Holder tells to which member of a group a partition is assigned.
type Holder struct {
	Partition int
	Member    string
}

// Membership describes a member of a group that shares the partitions of a topic.
type Membership struct {
	Group  string
	Member string
	Topic  Topic
	// TTL is how long the member stays in the group without joining again.
	TTL time.Duration
	// Generation is the last one that the member has seen.
	Generation int64
}

// Store is the durable store; every call may return ErrRefused or ErrNoAnswer.
type Store interface {
	// Append appends a batch; it returns ErrFenced if a newer epoch of the producer exists.
	Append(ctx context.Context, batch Batch) error
	// Newest returns the newest record of each key, and the offset from which a reader must continue to miss no record.
	Newest(ctx context.Context, topic Topic, partition int) (Page, error)
	// Read returns the records from an offset on, or the first of them, and waits up to wait for the first. It returns ErrTrimmed
	// if the store has deleted records there.
	Read(ctx context.Context, topic Topic, partition int, from int64, wait time.Duration) (Page, error)
	// Join joins a group or renews the membership.
	Join(ctx context.Context, m Membership) (Assignment, error)
	// Leave ends a membership.
	Leave(ctx context.Context, m Membership) error
	// Holders returns the assigned partitions of a group with their members. It doesn't list members without a partition.
	Holders(ctx context.Context, group string) ([]Holder, error)
}
