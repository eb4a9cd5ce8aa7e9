package site

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// crossWait is how long an answer waits for another one to be swapped with.
const crossWait = time.Second

// crossing swaps answers in pairs.
type crossing struct {
	mu      sync.Mutex
	waiting *partner
}

type partner struct {
	own   reply
	other chan reply
}

// swap returns the answer of another request; if none comes in time, it returns the request's own.
func (c *crossing) swap(clock clockwork.Clock, own reply) reply {
	c.mu.Lock()
	if p := c.waiting; p != nil {
		c.waiting = nil
		c.mu.Unlock()
		p.other <- own
		return p.own
	}
	p := &partner{own: own, other: make(chan reply, 1)}
	c.waiting = p
	c.mu.Unlock()
	select {
	case other := <-p.other:
		return other
	case <-clock.After(crossWait):
		return c.withdraw(p)
	}
}

// withdraw takes a request that found no partner out, unless one has come at the last moment.
func (c *crossing) withdraw(p *partner) reply {
	c.mu.Lock()
	if c.waiting == p {
		c.waiting = nil
		c.mu.Unlock()
		return p.own
	}
	c.mu.Unlock()
	return <-p.other
}
