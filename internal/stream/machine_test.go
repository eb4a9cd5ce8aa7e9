package stream

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"arbutuswing.example/internal/model"
)

// simulation is the rapid state machine: two instances that share a log with faults, restart with an empty state and
// submit operations. The outcomes reported by Submit are compared with the contents of the log.
type simulation struct {
	log       *fakeLog
	net       *fakeNet
	instances [2]*testInstance
	views     [2]*fakeView
	// reference applies the whole log, including truncated records.
	reference *fakeMachine

	submits  sync.WaitGroup
	mu       sync.Mutex
	count    int
	reported map[model.JobID]error
}

func newSimulation() *simulation {
	s := &simulation{log: newFakeLog(), net: newNet(), reference: newFakeMachine(), reported: make(map[model.JobID]error)}
	for i := range s.instances {
		s.views[i] = &fakeView{log: s.log}
		s.restart(i)
	}
	return s
}

func (s *simulation) restart(i int) {
	if s.instances[i] != nil {
		s.instances[i].shutDown()
	}
	time.Sleep(time.Millisecond)
	s.instances[i] = s.net.start(model.InstanceID(fmt.Sprintf("n%d", i)), s.views[i], func(cfg *Config) {
		cfg.SnapshotRecords, cfg.MinSnapshotInterval = 10, time.Second
	})
}

func (s *simulation) submit(n *testInstance, timeout time.Duration) {
	s.count++
	names := []model.JobID{model.JobID(fmt.Sprintf("%d-a", s.count)), model.JobID(fmt.Sprintf("%d-b", s.count))}
	s.submits.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		_, err := n.stream.Submit(ctx, op(string(names[0])), op(string(names[1])))
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, name := range names {
			s.reported[name] = err
		}
	})
}

// actions are the steps of the state machine.
func (s *simulation) actions() map[string]func(*rapid.T) {
	pick := rapid.IntRange(0, 1)
	return map[string]func(*rapid.T){
		"submit": func(t *rapid.T) {
			n := s.instances[pick.Draw(t, "node")]
			timeout := rapid.SampledFrom([]time.Duration{50 * time.Millisecond, time.Second, time.Hour}).Draw(t, "patience")
			for range rapid.IntRange(1, 3).Draw(t, "count") {
				s.submit(n, timeout)
			}
		},
		"wait": func(t *rapid.T) {
			time.Sleep(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
		},
		"fault": func(t *rapid.T) {
			faults := rapid.SliceOfN(
				rapid.SampledFrom([]fault{loseAnswer, loseRequest, delayEffect, throttle, hang, hangDelayed}), 1, 4).
				Draw(t, "faults")
			s.views[pick.Draw(t, "node")].set(func(v *fakeView) { v.faults = append(v.faults, faults...) })
		},
		"down": func(t *rapid.T) {
			unavailable := rapid.Bool().Draw(t, "down")
			s.views[pick.Draw(t, "node")].set(func(v *fakeView) { v.unavailable = unavailable })
		},
		"mute": func(t *rapid.T) {
			silent := rapid.Bool().Draw(t, "mute")
			s.views[pick.Draw(t, "node")].set(func(v *fakeView) { v.silent = silent })
		},
		"cut":     func(t *rapid.T) { s.net.setPartitioned(rapid.Bool().Draw(t, "cut")) },
		"land":    func(*rapid.T) { s.log.applyDelayed() },
		"restart": func(t *rapid.T) { s.restart(pick.Draw(t, "node")) },
		"truncate": func(*rapid.T) {
			for _, n := range s.instances {
				s.log.truncate(n.stream.newestSnapshot().at + 1)
			}
		},
		"": func(t *rapid.T) { s.check(t) },
	}
}

// heal ends all faults, gives the instances time to catch up and compares their states with the log.
func (s *simulation) heal(t *rapid.T) {
	s.net.setPartitioned(false)
	for _, view := range s.views {
		view.set(func(v *fakeView) { v.unavailable, v.silent, v.faults = false, false, nil })
	}
	s.log.applyDelayed()
	time.Sleep(20 * time.Second)
	s.submits.Wait()
	s.log.applyDelayed()
	time.Sleep(5 * time.Second)
	s.check(t)
	for _, n := range s.instances {
		if !n.stream.Ready() || !slices.Equal(n.machine.names(), s.reference.names()) {
			t.Fatalf("%s is ready=%v at %d and applied %v, the log holds %v", n.name, n.stream.Ready(),
				n.machine.Offset(), n.machine.names(), s.reference.names())
		}
	}
}

// check compares the outcomes reported so far with the whole log.
func (s *simulation) check(t *rapid.T) {
	synctest.Wait()
	s.log.mu.Lock()
	records := slices.Clone(s.log.records)
	delayed := len(s.log.delayed)
	s.log.mu.Unlock()
	for at := s.reference.Offset() + 1; int(at) < len(records); at++ {
		env, err := decode(records[at])
		if err != nil {
			t.Fatalf("record %d: %v", at, err)
		}
		s.reference.Apply(at, env)
	}
	counts := make(map[model.JobID]int)
	for _, name := range s.reference.names() {
		counts[name]++
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, err := range s.reported {
		got := counts[name]
		switch {
		case err == nil && got != 1:
			t.Fatalf("%s was reported as recorded and is in the log %d times", name, got)
		case errors.Is(err, ErrNotRecorded) && got != 0:
			t.Fatalf("%s was reported as not recorded (%v) and is in the log %d times", name, err, got)
		case got > 1:
			t.Fatalf("%s is in the log %d times (%d appends take effect later)", name, got, delayed)
		}
	}
}

// synctestTB hides the deadline of the test, which may not be read inside a synctest bubble. The time limit for
// shrinking runs on the bubble's fake clock; pass -rapid.shrinktime=100h to shrink a failure.
type synctestTB struct{ rapid.TB }

// Guards against operations that are lost, applied twice or reported wrongly, in any interleaving of lost answers,
// delayed effects, repeated appends, outages, truncation, partitions and restarts of two writers.
func TestOperationsTakeEffectOnceOrAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(synctestTB{t}, func(t *rapid.T) {
			s := newSimulation()
			defer func() {
				s.net.shutDownAll()
				s.submits.Wait()
			}()
			t.Repeat(s.actions())
			s.heal(t)
		})
	})
}
