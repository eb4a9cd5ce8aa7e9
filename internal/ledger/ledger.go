package ledger

import (
	"context"
	"errors"
	"time"
)

var (
	// ErrRefused reports that the store did nothing: it is overloaded, down or full.
	ErrRefused = errors.New("store refused the call")
	// ErrNoAnswer reports a call without an answer; it may have taken effect or may do so seconds later.
	ErrNoAnswer = errors.New("no answer from the store")
	// ErrFenced reports that a newer epoch of the producer exists.
	ErrFenced = errors.New("producer is fenced by a newer epoch")
	// ErrTrimmed reports that the requested records are gone; the newest record of each key still exists.
	ErrTrimmed = errors.New("records were trimmed")
	// ErrProtocol reports an answer that can't be understood.
	ErrProtocol = errors.New("unexpected answer from the store")
)

// Topic is a set of partitions in which the newest record of each key is kept for good.
type Topic string

// Record is one keyed record; a record without a value drops the key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Batch is appended all or nothing; a repeat with the same producer, epoch and sequence has no further effect.
type Batch struct {
	Topic     Topic
	Partition int
	Producer  string
	Epoch     int64
	Sequence  int64
	Records   []Record
}

// Page is what a read returned.
type Page struct {
	Records []Record
	// Next is the offset to read from next.
	Next int64
}

// Assignment is the part of a group's partitions that one member holds.
type Assignment struct {
	// Generation rises with each change in the group.
	Generation int64
	Partitions []int
}

// Holder tells which member of a group holds a partition.
type Holder struct {
	Partition int
	Member    string
}

// Membership identifies a member of a group over one topic.
type Membership struct {
	Group      string
	Member     string
	Topic      Topic
	TTL        time.Duration
	Generation int64
}

// Store is the store; every call may return ErrRefused or ErrNoAnswer.
type Store interface {
	// Append appends a batch; ErrFenced means that a newer epoch of its producer exists.
	Append(ctx context.Context, batch Batch) error
	// Newest returns the newest record of each key, and an offset at which a reader has to go on to miss nothing.
	Newest(ctx context.Context, topic Topic, partition int) (Page, error)
	// Read returns records from an offset and waits up to wait for the first; ErrTrimmed means that they are gone.
	Read(ctx context.Context, topic Topic, partition int, from int64, wait time.Duration) (Page, error)
	// Join joins a group or keeps the member in it.
	Join(ctx context.Context, m Membership) (Assignment, error)
	// Leave gives up a membership.
	Leave(ctx context.Context, m Membership) error
	// Holders returns who holds which partition of a group's topic.
	Holders(ctx context.Context, group string) ([]Holder, error)
}
