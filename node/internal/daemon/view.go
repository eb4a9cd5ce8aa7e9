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

// maxStoreSilence is the time without an answer from the store after which the node isn't ready. The node calls the store
// more often than that to renew its membership; if it can't reach the store, other nodes should serve its clients.
const maxStoreSilence = 700 * time.Millisecond

var errNoAdvice = errors.New("no placement advice service is configured")

// noAdvisor is the advisor of a deployment that has no advice service.
type noAdvisor struct{}

// Advise always returns an error.
func (noAdvisor) Advise(context.Context, agent.AdviceRequest) (agent.Advice, error) {
	return agent.Advice{}, errNoAdvice
}

// view holds the operators' configuration in force and reports whether the node is ready.
type view struct {
	log                 *zap.Logger
	store               *ledger.InstrumentedStore
	configurationMirror *mirror.Mirror

	mu               sync.Mutex
	owner            *owner.Owner
	configuration    terms.Configuration
	hasConfiguration bool
}

// setOwner sets the owner that is told of each new configuration.
func (v *view) setOwner(o *owner.Owner) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.owner = o
}

// Configuration returns the configuration in force, or false if none has been read yet.
func (v *view) Configuration() (terms.Configuration, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.configuration, v.hasConfiguration
}

// ready reports whether the node has a configuration and the store has answered within maxStoreSilence.
func (v *view) ready() bool {
	_, ok := v.Configuration()
	return ok && v.store.TimeSinceAnswer() < maxStoreSilence
}

// applyConfiguration puts a configuration in force, unless it is invalid or has an older version than the one in force.
func (v *view) applyConfiguration(records map[string][]byte) {
	configuration, err := adapt.DecodeConfiguration(records)
	v.mu.Lock()
	if err != nil || (v.hasConfiguration && configuration.Version < v.configuration.Version) {
		hadConfiguration := v.hasConfiguration
		v.mu.Unlock()
		if hadConfiguration || len(records) > 0 {
			v.log.Warn("configuration rejected", zap.Int64("version", configuration.Version), zap.Error(err))
		}
		return
	}
	v.configuration, v.hasConfiguration = configuration, true
	o := v.owner
	v.mu.Unlock()
	v.log.Info("configuration in force", zap.Int64("version", configuration.Version),
		zap.Int("queues", len(configuration.Queues)))
	if o != nil {
		o.ConfigurationChanged(configuration)
	}
}
