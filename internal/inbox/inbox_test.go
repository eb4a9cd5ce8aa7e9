package inbox

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/ledger"
)

// fakeStore answers each append with the next step of a script, and with success after the last. It keeps the records that
// took effect by sequence number.
type fakeStore struct {
	ledger.Store

	mu      sync.Mutex
	script  []func(store func()) error
	batches []ledger.Batch
	stored  map[int64][]ledger.Record
}

func (f *fakeStore) Append(_ context.Context, batch ledger.Batch) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.batches = append(f.batches, batch)
	step := func(store func()) error { store(); return nil }
	if len(f.script) > 0 {
		step, f.script = f.script[0], f.script[1:]
	}
	return step(func() { f.stored[batch.Sequence] = batch.Records })
}

var (
	refused    = func(func()) error { return ledger.ErrRefused }
	appendLost = func(func()) error { return ledger.ErrNoAnswer }
	answerLost = func(store func()) error { store(); return ledger.ErrNoAnswer }
)

func run(t *testing.T, script []func(func()) error, test func(*Inbox, *fakeStore)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fakeStore{script: script, stored: make(map[int64][]ledger.Record)}
		b := New(Config{Store: f, Topic: "jobs", Producer: "node", RepeatLimit: 30 * time.Second, Log: zap.NewNop()})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- b.Run(ctx) }()
		test(b, f)
		cancel()
		assert.NilError(t, <-done)
	})
}

// TestRefusedRecordIsNotStored guards against a job that is reported as refused although it is stored or may still be stored.
func TestRefusedRecordIsNotStored(t *testing.T) {
	tests := []struct {
		name   string
		script []func(func()) error
		want   error
		stored int
	}{
		{"accepted", nil, nil, 1},
		{"refused at once", []func(func()) error{refused}, ErrRefused, 0},
		{"refused after a lost append", []func(func()) error{appendLost, refused, refused}, nil, 1},
		{"stored without an answer, then refused", []func(func()) error{answerLost, refused}, nil, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			run(t, test.script, func(b *Inbox, f *fakeStore) {
				err := b.Put(context.Background(), ledger.Record{Key: "job/a", Value: []byte("x")})
				assert.Assert(t, errors.Is(err, test.want), "got %v", err)
				assert.Equal(t, len(f.stored), test.stored)
			})
		})
	}
}

// TestUnansweredAppendIsRepeated guards against a record that is lost or stored twice when an answer is lost: every
// attempt must have the same sequence number and content, and the caller must be told of the success.
func TestUnansweredAppendIsRepeated(t *testing.T) {
	run(t, []func(func()) error{answerLost, appendLost, answerLost}, func(b *Inbox, f *fakeStore) {
		assert.NilError(t, b.Put(context.Background(), ledger.Record{Key: "job/a", Value: []byte("x")}))
		assert.Equal(t, len(f.batches), 4)
		for _, batch := range f.batches {
			assert.DeepEqual(t, batch, f.batches[0])
		}
		assert.NilError(t, b.Put(context.Background(), ledger.Record{Key: "job/b", Value: []byte("y")}))
		assert.Equal(t, len(f.stored), 2)
	})
}

// TestNewRecordsAreRefusedWhileStoreIsSilent guards against callers that wait behind an append that gets no answer.
func TestNewRecordsAreRefusedWhileStoreIsSilent(t *testing.T) {
	script := make([]func(func()) error, 100)
	for i := range script {
		script[i] = appendLost
	}
	run(t, script, func(b *Inbox, _ *fakeStore) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		assert.Assert(t, errors.Is(b.Put(ctx, ledger.Record{Key: "job/a"}), ErrUnknown))
		begun := time.Now()
		assert.Assert(t, errors.Is(b.Put(context.Background(), ledger.Record{Key: "job/b"}), ErrRefused))
		assert.Equal(t, time.Since(begun), time.Duration(0))
	})
}

// TestTooLargeRecordIsRefused guards against a record that makes the append of all records of its batch fail.
func TestTooLargeRecordIsRefused(t *testing.T) {
	tests := []struct {
		name  string
		bytes int
		want  error
	}{
		{"largest", ledger.MaxRecordBytes - 1 - len("job/a"), nil},
		{"too large", ledger.MaxRecordBytes - len("job/a"), ErrTooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, nil, func(b *Inbox, f *fakeStore) {
				err := b.Put(context.Background(), ledger.Record{Key: "job/a", Value: make([]byte, tt.bytes)})
				assert.Assert(t, errors.Is(err, tt.want), "got %v", err)
				assert.Equal(t, len(f.batches) == 0, tt.want != nil)
			})
		})
	}
}

// TestRecordOfLongOutageIsGivenUp guards against a record that is stored long after its caller was told that its outcome is unknown:
// a job that was submitted again elsewhere has run and been forgotten by then, and would run again.
func TestRecordOfLongOutageIsGivenUp(t *testing.T) {
	script := make([]func(func()) error, 10_000)
	for i := range script {
		script[i] = appendLost
	}
	run(t, script, func(b *Inbox, f *fakeStore) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		assert.Check(t, errors.Is(b.Put(ctx, ledger.Record{Key: "job/a"}), ErrUnknown))
		time.Sleep(10 * time.Minute)
		f.mu.Lock()
		f.script = nil
		f.mu.Unlock()
		assert.Check(t, b.Put(context.Background(), ledger.Record{Key: "job/b"}))
		f.mu.Lock()
		defer f.mu.Unlock()
		last, first := f.batches[len(f.batches)-1], f.batches[0]
		assert.Check(t, last.Epoch > first.Epoch, "the repeated append may still be executed")
		for _, records := range f.stored {
			assert.Check(t, records[0].Key != "job/a", "stored after the outage")
		}
	})
}

// TestRecordOfStandstillIsGivenUp guards against the same record if it was the node that stood still before it sent the record.
func TestRecordOfStandstillIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeStore{stored: make(map[int64][]ledger.Record)}
		b := New(Config{Store: f, Topic: "jobs", Producer: "node", RepeatLimit: 30 * time.Second, Log: zap.NewNop()})
		record := ledger.Record{Key: "job/a", Value: []byte("x")}
		outcome, done := make(chan error, 1), make(chan error, 1)
		go func() { outcome <- b.Put(context.Background(), record) }()
		time.Sleep(time.Minute)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { done <- b.Run(ctx) }()
		assert.Check(t, errors.Is(<-outcome, ErrRefused))
		assert.Check(t, len(f.batches) == 0)
		assert.Check(t, b.Put(context.Background(), record))
		cancel()
		assert.NilError(t, <-done)
	})
}

// TestRecordThatWaitsIsWithdrawn guards against an answer in doubt, and a job that is stored later, for a record that no append has
// sent when its caller's time is over.
func TestRecordThatWaitsIsWithdrawn(t *testing.T) {
	const outage = 300 * time.Millisecond
	slow := func(store func()) error { time.Sleep(outage); store(); return nil }
	run(t, []func(func()) error{slow}, func(b *Inbox, f *fakeStore) {
		results := make(chan error, 2)
		put := func(key string, timeout time.Duration) {
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			results <- b.Put(ctx, ledger.Record{Key: key})
		}
		go put("sent", outage/3)
		synctest.Wait()
		go put("waiting", outage/2)
		assert.Assert(t, errors.Is(<-results, ErrUnknown))
		assert.Assert(t, errors.Is(<-results, ErrRefused))
		time.Sleep(outage)
		assert.NilError(t, b.Put(context.Background(), ledger.Record{Key: "next"}))
		f.mu.Lock()
		defer f.mu.Unlock()
		var keys []string
		for _, batch := range f.batches {
			for _, r := range batch.Records {
				keys = append(keys, r.Key)
			}
		}
		assert.DeepEqual(t, keys, []string{"sent", "next"})
	})
}
