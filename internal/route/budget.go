package route

import "sync"

const (
	retryRatio = 0.1
	retryBurst = 20
)

// retryBudget limits retries to a fraction of the requests, so that retries can't multiply an overload.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: retryBurst} }

// deposit adds the fraction of a retry that one request earns.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryRatio, retryBurst)
}

// withdraw consumes one retry; it returns false if the budget is exhausted.
func (b *retryBudget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
