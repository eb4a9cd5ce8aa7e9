package route

import "sync"

const (
	retryRatio = 0.1
	retryBurst = 20
)

// budget limits retries to a fraction of the requests, so that retries can't multiply an overload.
type budget struct {
	mu     sync.Mutex
	tokens float64
}

func newBudget() *budget { return &budget{tokens: retryBurst} }

// deposit adds the share of one request.
func (b *budget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryRatio, retryBurst)
}

// withdraw takes one retry; it reports false when the budget is used up.
func (b *budget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
