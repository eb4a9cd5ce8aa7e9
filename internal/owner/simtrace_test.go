package owner

import (
	"cmp"
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap/zapcore"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/work"
)

// simTrace holds what happened in a simulation, by time.
type simTrace struct {
	begun time.Time

	mu    sync.Mutex
	lines []simLine
}

// simLine is one line of a trace. Lines about what happens on a worker name it.
type simLine struct {
	at     time.Duration
	worker model.WorkerID
	text   string
}

func (l simLine) String() string {
	return fmt.Sprintf("%10.6f %-4s %s", l.at.Seconds(), l.worker, l.text)
}

func (t *simTrace) add(format string, args ...any) {
	t.addAt(time.Since(t.begun), "", fmt.Sprintf(format, args...))
}

// addAt adds a line about a moment that may have passed.
func (t *simTrace) addAt(at time.Duration, worker model.WorkerID, text string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lines = append(t.lines, simLine{at, worker, text})
}

// sorted returns the lines by time, and those of the same moment by their text.
func (t *simTrace) sorted() []simLine {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.SortedFunc(slices.Values(t.lines), func(a, b simLine) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.worker, b.worker), strings.Compare(a.text, b.text))
	})
}

// hash returns a hash of all lines.
func (t *simTrace) hash() uint64 {
	h := fnv.New64a()
	for _, l := range t.sorted() {
		_, _ = fmt.Fprintln(h, int64(l.at), l.worker, l.text)
	}
	return h.Sum64()
}

func (t *simTrace) print(w io.Writer) {
	for _, l := range t.sorted() {
		_, _ = fmt.Fprintln(w, l)
	}
}

// about returns the lines that name one of the tasks, those about the workers that had one, and the takeovers.
func (t *simTrace) about(tasks map[work.TaskRef]bool) string {
	lines := t.sorted()
	names := make([]string, 0, len(tasks))
	for task := range tasks {
		names = append(names, task.String())
	}
	names = slices.Sorted(slices.Values(names))
	named := func(l simLine) bool {
		return slices.ContainsFunc(names, func(name string) bool { return strings.Contains(l.text, name) })
	}
	workers := make(map[model.WorkerID]bool)
	for _, l := range lines {
		if l.worker != "" && named(l) {
			workers[l.worker] = true
		}
	}
	var text strings.Builder
	for _, l := range lines {
		if named(l) || (workers[l.worker] && !strings.Contains(l.text, "/")) || strings.Contains(l.text, "takeover") {
			fmt.Fprintln(&text, l)
		}
	}
	return text.String()
}

// core returns a core that writes the log of a node into the trace.
func (t *simTrace) core(node string) zapcore.Core { return simCore{zapcore.InfoLevel, t, node} }

type simCore struct {
	zapcore.LevelEnabler
	trace *simTrace
	node  string
}

func (c simCore) With(fields []zapcore.Field) zapcore.Core {
	return simCore{c.LevelEnabler, c.trace, c.node + " " + simFields(fields)}
}

func (c simCore) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	return checked.AddCore(e, c)
}

func (c simCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	if e.Message != "load" {
		c.trace.add("%s %s %s", c.node, e.Message, simFields(fields))
	}
	return nil
}

func (c simCore) Sync() error { return nil }

func simFields(fields []zapcore.Field) string {
	enc := zapcore.NewMapObjectEncoder()
	for _, f := range fields {
		f.AddTo(enc)
	}
	list := make([]string, 0, len(enc.Fields))
	for _, key := range slices.Sorted(maps.Keys(enc.Fields)) {
		list = append(list, fmt.Sprintf("%s=%v", key, enc.Fields[key]))
	}
	return strings.Join(list, " ")
}

// tracedWorkers notes the commands of a node to workers, with their answers.
type tracedWorkers struct {
	agent.Workers
	trace *simTrace
	node  string
}

func (w tracedWorkers) Start(ctx context.Context, to agent.Target, cmd agent.Start) (time.Duration, error) {
	w.trace.add("%s starts run %d of %v on %s, token %x, lease until %v", w.node, cmd.Run, cmd.Task, to.ID, cmd.Token, cmd.LeaseEnd)
	clock, err := w.Workers.Start(ctx, to, cmd)
	w.trace.add("%s has started run %d of %v on %s: %v %v", w.node, cmd.Run, cmd.Task, to.ID, clock, err)
	return clock, err
}

func (w tracedWorkers) Stop(ctx context.Context, to agent.Target, cmd agent.Stop) (time.Duration, error) {
	w.trace.add("%s stops run %d of %v on %s, token %x", w.node, cmd.Run, cmd.Task, to.ID, cmd.Token)
	clock, err := w.Workers.Stop(ctx, to, cmd)
	w.trace.add("%s has stopped run %d of %v on %s: %v %v", w.node, cmd.Run, cmd.Task, to.ID, clock, err)
	return clock, err
}

func (w tracedWorkers) Heartbeat(ctx context.Context, to agent.Target, cmd agent.Heartbeat) (agent.Report, error) {
	w.trace.add("%s heartbeat to %s, token %x, lease until %v, ends up to %d", w.node, to.ID, cmd.Token, cmd.LeaseEnd, cmd.Acked)
	report, err := w.Workers.Heartbeat(ctx, to, cmd)
	w.trace.add("%s report of %s: clock %v incarnation %d running %v ended %v: %v", w.node, to.ID, report.Clock, report.Incarnation,
		report.Running, report.Ended, err)
	return report, err
}
