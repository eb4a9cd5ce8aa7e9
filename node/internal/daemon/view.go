package daemon

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/ledger"
	"arbutuswing.example/internal/mirror"
	"arbutuswing.example/internal/owner"
	"arbutuswing.example/internal/terms"
	adapt "arbutuswing.example/platform"
)

// readyFor is the silence of the store up to which the node wants new connections: the membership is renewed more
// often, and clients of a node that is cut off are served elsewhere.
const readyFor = 700 * time.Millisecond

var errNoAdvice = errors.New("no placement advice service is configured")

// noAdvice stands for a deployment without an advice service.
type noAdvice struct{}

// Advise always fails.
func (noAdvice) Advise(context.Context, agent.AdviceRequest) (agent.Advice, error) {
	return agent.Advice{}, errNoAdvice
}

// view is what the node has read of the operators' configuration, and whether it reaches the store.
type view struct {
	log         *zap.Logger
	store       *ledger.InstrumentedStore
	termsMirror *mirror.Mirror

	mu       sync.Mutex
	owner    *owner.Owner
	terms    terms.Terms
	hasTerms bool
}

func (v *view) follow(o *owner.Owner) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.owner = o
}

// Terms returns the configuration in force, or false before there is one.
func (v *view) Terms() (terms.Terms, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.terms, v.hasTerms
}

func (v *view) ready() bool {
	_, ok := v.Terms()
	return ok && v.store.TimeSinceAnswer() < readyFor
}

// termsRead puts a configuration in force; an older version than the one in force is never taken back.
func (v *view) termsRead(records map[string][]byte) {
	t, err := adapt.DecodeTerms(records)
	v.mu.Lock()
	if err != nil || (v.hasTerms && t.Version < v.terms.Version) {
		has := v.hasTerms
		v.mu.Unlock()
		if has || len(records) > 0 {
			v.log.Warn("configuration not taken", zap.Int64("version", t.Version), zap.Error(err))
		}
		return
	}
	v.terms, v.hasTerms = t, true
	o := v.owner
	v.mu.Unlock()
	v.log.Info("configuration in force", zap.Int64("version", t.Version), zap.Int("queues", len(t.Queues)))
	if o != nil {
		o.TermsChanged(t)
	}
}
