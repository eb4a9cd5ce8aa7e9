package mirror

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/ledger"
)

// flakyStore answers reads, or refuses them from some time on until another.
type flakyStore struct {
	ledger.Store
	begun               time.Time
	refusedFrom, healed time.Duration
	latency             time.Duration
}

func (s flakyStore) answer() (ledger.Page, error) {
	at := time.Since(s.begun)
	time.Sleep(s.latency)
	if at >= s.refusedFrom && at < s.healed {
		return ledger.Page{}, ledger.ErrRefused
	}
	return ledger.Page{Records: []ledger.Record{{Key: "k", Value: []byte(at.String())}}}, nil
}

func (s flakyStore) Newest(context.Context, ledger.Topic, int) (ledger.Page, error) {
	return s.answer()
}

func (s flakyStore) Read(context.Context, ledger.Topic, int, int64, time.Duration) (ledger.Page, error) {
	return s.answer()
}

// TestOnlySuccessfulReadsAreNoted guards against an unavailable store that counts as one which was read, and against a read that
// counts from its end.
func TestOnlySuccessfulReadsAreNoted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		const from, healed, latency = 2 * time.Second, 5 * time.Second, 30 * time.Millisecond
		changes, reads := 0, 0
		var longest, last time.Duration
		m := New(Config{
			Store: flakyStore{begun: begun, refusedFrom: from, healed: healed, latency: latency}, Pause: 250 * time.Millisecond, Log: zap.NewNop(),
			OnChange: func(map[string][]byte) { changes++ },
			OnRead: func(at time.Time) {
				reads++
				assert.Equal(t, changes, reads, "a read is noted before its changes have been passed on")
				assert.Equal(t, time.Since(at), latency)
				longest, last = max(longest, at.Sub(begun)-last), at.Sub(begun)
			},
		})
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		assert.NilError(t, m.Run(ctx))
		assert.Assert(t, longest > healed-from && longest < healed-from+2*time.Second, "reads are noted %v apart", longest)
		assert.Assert(t, reads > 20, "%d reads", reads)
	})
}
