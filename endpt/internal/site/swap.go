package site

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// swapTimeout is how long an answer waits for another one to swap with.
const swapTimeout = time.Second

// answerSwapper swaps the answers of pairs of requests.
type answerSwapper struct {
	mu      sync.Mutex
	waiting *pendingSwap
}

type pendingSwap struct {
	own   reply
	other chan reply
}

// swap returns the answer of another request, or own if no other request arrives in time.
func (c *answerSwapper) swap(clock clockwork.Clock, own reply) reply {
	c.mu.Lock()
	if p := c.waiting; p != nil {
		c.waiting = nil
		c.mu.Unlock()
		p.other <- own
		return p.own
	}
	p := &pendingSwap{own: own, other: make(chan reply, 1)}
	c.waiting = p
	c.mu.Unlock()
	select {
	case other := <-p.other:
		return other
	case <-clock.After(swapTimeout):
		return c.cancelSwap(p)
	}
}

// cancelSwap withdraws a request that found no other one in time and returns its own answer. If another request has just
// taken it, it returns that one's answer.
func (c *answerSwapper) cancelSwap(p *pendingSwap) reply {
	c.mu.Lock()
	if c.waiting == p {
		c.waiting = nil
		c.mu.Unlock()
		return p.own
	}
	c.mu.Unlock()
	return <-p.other
}
