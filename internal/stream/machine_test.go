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

// world is the rapid state machine: two instances that share a log with faults, restart without memory, and submit
// operations whose reported outcomes are compared with what the log holds in the end.
type world struct {
	log   *fakeLog
	net   *fakeNet
	nodes [2]*node
	views [2]*fakeView
	// truth folds the whole log, with the records that were truncated.
	truth *fakeFolder

	submits sync.WaitGroup
	mu      sync.Mutex
	count   int
	told    map[model.JobID]error
}

func newWorld() *world {
	w := &world{log: newFakeLog(), net: newNet(), truth: newFakeFolder(), told: make(map[model.JobID]error)}
	for i := range w.nodes {
		w.views[i] = &fakeView{log: w.log}
		w.restart(i)
	}
	return w
}

func (w *world) restart(i int) {
	if w.nodes[i] != nil {
		w.nodes[i].halt()
	}
	time.Sleep(time.Millisecond)
	w.nodes[i] = w.net.start(model.InstanceID(fmt.Sprintf("n%d", i)), w.views[i], func(cfg *Config) {
		cfg.SnapshotRecords, cfg.SnapshotGap = 10, time.Second
	})
}

func (w *world) submit(n *node, patience time.Duration) {
	w.count++
	names := []model.JobID{model.JobID(fmt.Sprintf("%d-a", w.count)), model.JobID(fmt.Sprintf("%d-b", w.count))}
	w.submits.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		_, err := n.stream.Submit(ctx, op(string(names[0])), op(string(names[1])))
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, name := range names {
			w.told[name] = err
		}
	})
}

// actions are the steps of the state machine.
func (w *world) actions() map[string]func(*rapid.T) {
	pick := rapid.IntRange(0, 1)
	return map[string]func(*rapid.T){
		"submit": func(t *rapid.T) {
			n := w.nodes[pick.Draw(t, "node")]
			patience := rapid.SampledFrom([]time.Duration{50 * time.Millisecond, time.Second, time.Hour}).Draw(t, "patience")
			for range rapid.IntRange(1, 3).Draw(t, "count") {
				w.submit(n, patience)
			}
		},
		"wait": func(t *rapid.T) {
			time.Sleep(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
		},
		"fault": func(t *rapid.T) {
			faults := rapid.SliceOfN(rapid.SampledFrom([]fault{loseAnswer, loseRequest, landLate, throttle, hang, hangLate}), 1, 4).
				Draw(t, "faults")
			w.views[pick.Draw(t, "node")].set(func(v *fakeView) { v.faults = append(v.faults, faults...) })
		},
		"down": func(t *rapid.T) {
			down := rapid.Bool().Draw(t, "down")
			w.views[pick.Draw(t, "node")].set(func(v *fakeView) { v.down = down })
		},
		"mute": func(t *rapid.T) {
			mute := rapid.Bool().Draw(t, "mute")
			w.views[pick.Draw(t, "node")].set(func(v *fakeView) { v.mute = mute })
		},
		"cut":     func(t *rapid.T) { w.net.setCut(rapid.Bool().Draw(t, "cut")) },
		"land":    func(*rapid.T) { w.log.landLate() },
		"restart": func(t *rapid.T) { w.restart(pick.Draw(t, "node")) },
		"truncate": func(*rapid.T) {
			for _, n := range w.nodes {
				w.log.truncate(n.stream.newestRecorded().at + 1)
			}
		},
		"": func(t *rapid.T) { w.check(t) },
	}
}

// heal ends all faults and gives the instances time to catch up.
func (w *world) heal(t *rapid.T) {
	w.net.setCut(false)
	for _, view := range w.views {
		view.set(func(v *fakeView) { v.down, v.mute, v.faults = false, false, nil })
	}
	w.log.landLate()
	time.Sleep(20 * time.Second)
	w.submits.Wait()
	w.log.landLate()
	time.Sleep(5 * time.Second)
	w.check(t)
	for _, n := range w.nodes {
		if !n.stream.Ready() || !slices.Equal(n.folder.names(), w.truth.names()) {
			t.Fatalf("%s is ready=%v at %d and folded %v, the log holds %v", n.name, n.stream.Ready(),
				n.folder.Offset(), n.folder.names(), w.truth.names())
		}
	}
}

// check compares the outcomes reported so far with the whole log.
func (w *world) check(t *rapid.T) {
	synctest.Wait()
	w.log.mu.Lock()
	records := slices.Clone(w.log.records)
	late := len(w.log.late)
	w.log.mu.Unlock()
	for at := w.truth.Offset() + 1; int(at) < len(records); at++ {
		env, err := decode(records[at])
		if err != nil {
			t.Fatalf("record %d: %v", at, err)
		}
		w.truth.Apply(at, env)
	}
	counts := make(map[model.JobID]int)
	for _, name := range w.truth.names() {
		counts[name]++
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, err := range w.told {
		got := counts[name]
		switch {
		case err == nil && got != 1:
			t.Fatalf("%s was reported as recorded and is in the log %d times", name, got)
		case errors.Is(err, ErrNotRecorded) && got != 0:
			t.Fatalf("%s was reported as not recorded (%v) and is in the log %d times", name, err, got)
		case got > 1:
			t.Fatalf("%s is in the log %d times (%d appends land later)", name, got, late)
		}
	}
}

// bubbleTB hides the test's deadline, which may not be read inside a bubble. Time spent on shrinking is counted on the
// bubble's clock; give -rapid.shrinktime=100h to shrink a failure.
type bubbleTB struct{ rapid.TB }

// Guards against operations that are lost, recorded twice or reported wrongly, in any interleaving of lost answers,
// late effects, repeats, outages, truncation, partitions and restarts of two writers.
func TestEachOperationCountsOnceOrIsTrulyRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubbleTB{t}, func(t *rapid.T) {
			w := newWorld()
			defer func() {
				w.net.haltAll()
				w.submits.Wait()
			}()
			t.Repeat(w.actions())
			w.heal(t)
		})
	})
}
