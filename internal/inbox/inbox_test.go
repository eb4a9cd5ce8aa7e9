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

// fakeStore answers appends by a script and keeps what took effect, once for each sequence number.
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
	lost       = func(func()) error { return ledger.ErrNoAnswer }
	unanswered = func(store func()) error { store(); return ledger.ErrNoAnswer }
)

func run(t *testing.T, script []func(func()) error, test func(*Inbox, *fakeStore)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fakeStore{script: script, stored: make(map[int64][]ledger.Record)}
		b := New(Config{Store: f, Topic: "jobs", Producer: "node", Log: zap.NewNop()})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- b.Run(ctx) }()
		test(b, f)
		cancel()
		assert.NilError(t, <-done)
	})
}

// TestRefusalIsTrue guards against a job that is refused though it is stored or may still become so.
func TestRefusalIsTrue(t *testing.T) {
	tests := []struct {
		name   string
		script []func(func()) error
		want   error
		stored int
	}{
		{"accepted", nil, nil, 1},
		{"refused at once", []func(func()) error{refused}, ErrRefused, 0},
		{"refused after a lost answer", []func(func()) error{lost, refused, refused}, nil, 1},
		{"stored without an answer, then refused", []func(func()) error{unanswered, refused}, nil, 1},
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

// TestUnansweredAppendIsRepeated guards against a lost or doubled record when an answer is lost: every try has the same
// sequence number and content, and the caller hears of success.
func TestUnansweredAppendIsRepeated(t *testing.T) {
	run(t, []func(func()) error{unanswered, lost, unanswered}, func(b *Inbox, f *fakeStore) {
		assert.NilError(t, b.Put(context.Background(), ledger.Record{Key: "job/a", Value: []byte("x")}))
		assert.Equal(t, len(f.batches), 4)
		for _, batch := range f.batches {
			assert.DeepEqual(t, batch, f.batches[0])
		}
		assert.NilError(t, b.Put(context.Background(), ledger.Record{Key: "job/b", Value: []byte("y")}))
		assert.Equal(t, len(f.stored), 2)
	})
}

// TestNewRecordsAreRefusedWhileStuck guards against callers that wait for an append that gets no answer.
func TestNewRecordsAreRefusedWhileStuck(t *testing.T) {
	script := make([]func(func()) error, 100)
	for i := range script {
		script[i] = lost
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
