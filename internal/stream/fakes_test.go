package stream

import (
	"context"
	"fmt"
	"sync"
	"time"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/peer"
	"arbutuswing.example/internal/ports"
	"arbutuswing.example/internal/record"
)

// fakeLog is a log in memory; each instance accesses it through its own fakeView.
type fakeLog struct {
	mu       sync.Mutex
	records  [][]byte
	first    model.Offset
	appended chan struct{}
	// delayed holds appends whose answers were lost and that take effect when applyDelayed is called.
	delayed [][]byte
}

func newFakeLog() *fakeLog { return &fakeLog{appended: make(chan struct{})} }

func (l *fakeLog) add(data []byte) model.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, data)
	close(l.appended)
	l.appended = make(chan struct{})
	return model.Offset(len(l.records) - 1)
}

func (l *fakeLog) applyDelayed() {
	l.mu.Lock()
	delayed := l.delayed
	l.delayed = nil
	l.mu.Unlock()
	for _, data := range delayed {
		l.add(data)
	}
}

func (l *fakeLog) truncate(first model.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.first = max(l.first, min(first, model.Offset(len(l.records))))
}

func (l *fakeLog) read(from model.Offset, limit int) (ports.Batch, chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	batch := ports.Batch{First: l.first, Next: model.Offset(len(l.records))}
	if from < l.first {
		return batch, l.appended, ports.ErrTruncated
	}
	for at := from; at < batch.Next && len(batch.Records) < limit; at++ {
		batch.Records = append(batch.Records, ports.Record{Offset: at, Data: l.records[at]})
	}
	return batch, l.appended, nil
}

// fault is what goes wrong with one append.
type fault int

const (
	// loseAnswer records the append and loses the answer.
	loseAnswer fault = iota
	// loseRequest loses the request, which the writer cannot tell from a lost answer.
	loseRequest
	// delayEffect loses the answer and records the append later.
	delayEffect
	// throttle rejects the append as throttled.
	throttle
	// hang records the append and never answers.
	hang
	// hangDelayed never answers and records the append later.
	hangDelayed
)

// fakeView is one instance's access to the log.
type fakeView struct {
	log *fakeLog

	mu          sync.Mutex
	unavailable bool
	silent      bool
	faults      []fault
	appends     int
	reads       int
	// alterBatch, if set, changes the answers to reads.
	alterBatch func(ports.Batch) ports.Batch
}

func (v *fakeView) set(change func(*fakeView)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	change(v)
}

func (v *fakeView) next() (unavailable, silent bool, f fault, faulty bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.appends++
	if v.unavailable || v.silent || len(v.faults) == 0 {
		return v.unavailable, v.silent, 0, false
	}
	f, v.faults = v.faults[0], v.faults[1:]
	return false, false, f, true
}

func (v *fakeView) Append(ctx context.Context, data []byte) (model.Offset, error) {
	unavailable, silent, f, faulty := v.next()
	switch {
	case silent:
		<-ctx.Done()
		return model.NoOffset, ctx.Err()
	case unavailable:
		return model.NoOffset, ports.ErrUnavailable
	case !faulty:
		return v.log.add(data), nil
	}
	switch f {
	case throttle:
		return model.NoOffset, ports.ErrThrottled
	case delayEffect, hangDelayed:
		v.log.mu.Lock()
		v.log.delayed = append(v.log.delayed, data)
		v.log.mu.Unlock()
	case loseAnswer, hang:
		v.log.add(data)
	case loseRequest:
	}
	if f == hang || f == hangDelayed {
		<-ctx.Done()
		return model.NoOffset, ctx.Err()
	}
	return model.NoOffset, ports.ErrUnknownEffect
}

func (v *fakeView) Read(ctx context.Context, from model.Offset, limit int, wait time.Duration) (ports.Batch, error) {
	deadline := time.After(wait)
	for {
		v.mu.Lock()
		v.reads++
		unavailable, silent, alterBatch := v.unavailable, v.silent, v.alterBatch
		v.mu.Unlock()
		if unavailable {
			return ports.Batch{}, ports.ErrUnavailable
		}
		batch, appended, err := v.log.read(from, limit)
		if !silent && (err != nil || len(batch.Records) > 0 || wait == 0) {
			if alterBatch != nil {
				batch = alterBatch(batch)
			}
			return batch, err
		}
		if silent {
			deadline = nil
		}
		select {
		case <-ctx.Done():
			return ports.Batch{}, ctx.Err()
		case <-deadline:
			return batch, nil
		case <-appended:
		}
	}
}

// testInstance is one instance with its stream; peers call each other's streams directly.
type testInstance struct {
	name    model.InstanceID
	view    *fakeView
	machine *fakeMachine
	stream  *Stream
	stop    context.CancelFunc
	done    chan struct{}
}

// fakeNet is the network between the instances.
type fakeNet struct {
	mu          sync.Mutex
	instances   map[string]*testInstance
	partitioned bool
}

type fakePeers struct {
	net  *fakeNet
	self model.InstanceID
}

func (n *fakeNet) others(self model.InstanceID) []*testInstance {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []*testInstance
	for name, other := range n.instances {
		if name != string(self) && !n.partitioned {
			out = append(out, other)
		}
	}
	return out
}

func (p fakePeers) Count() int { return 1 + len(p.net.others(p.self)) }

func (p fakePeers) Sources() []Source {
	others := p.net.others(p.self)
	out := make([]Source, 0, len(others))
	for _, other := range others {
		status := other.stream.Status()
		out = append(out, Source{
			Address: string(other.name), Applied: status.Applied, Ready: status.Ready,
			LogAnswers: time.Since(status.LastDirectRead) < 2*time.Second,
		})
	}
	return out
}

func (p fakePeers) First(string) bool {
	for _, other := range p.net.others(p.self) {
		if other.name < p.self {
			return false
		}
	}
	return true
}

func (n *fakeNet) at(address string) (*Stream, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if other, ok := n.instances[address]; ok && !n.partitioned {
		return other.stream, nil
	}
	return nil, peer.ErrUnreachable
}

func (n *fakeNet) ReadLog(
	ctx context.Context, address string, from model.Offset, limit int, wait time.Duration,
) (ports.Batch, error) {
	other, err := n.at(address)
	if err != nil {
		return ports.Batch{}, err
	}
	return other.ReadLog(ctx, from, limit, wait)
}

func (n *fakeNet) AppendLog(ctx context.Context, address string, data []byte) (model.Offset, error) {
	other, err := n.at(address)
	if err != nil {
		return model.NoOffset, fmt.Errorf("%w: %w", ports.ErrUnavailable, err)
	}
	return other.AppendLog(ctx, data)
}

func (n *fakeNet) Snapshot(ctx context.Context, address string) (peer.Snapshot, error) {
	other, err := n.at(address)
	if err != nil {
		return peer.Snapshot{}, err
	}
	return other.Snapshot(ctx)
}

// start starts a new incarnation of an instance with an empty state.
func (n *fakeNet) start(name model.InstanceID, view *fakeView, change func(*Config)) *testInstance {
	made := &testInstance{name: name, view: view, machine: newFakeMachine(), done: make(chan struct{})}
	cfg := Config{
		Instance: name, Incarnation: model.Incarnation(time.Now().UnixNano()), Log: view, StateMachine: made.machine,
		Peers: fakePeers{net: n, self: name}, Relay: n,
	}
	if change != nil {
		change(&cfg)
	}
	stream, err := New(cfg)
	if err != nil {
		panic(err)
	}
	made.stream = stream
	ctx, cancel := context.WithCancel(context.Background())
	made.stop = cancel
	n.mu.Lock()
	n.instances[string(name)] = made
	n.mu.Unlock()
	go made.run(ctx)
	return made
}

func (n *testInstance) run(ctx context.Context) {
	defer close(n.done)
	if err := n.stream.Run(ctx); err != nil {
		panic(err)
	}
}

func (n *testInstance) shutDown() {
	n.stop()
	<-n.done
}

func (n *fakeNet) setPartitioned(cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned = cut
}

func (n *fakeNet) shutDownAll() {
	for _, other := range n.instances {
		other.shutDown()
	}
}

func newNet() *fakeNet { return &fakeNet{instances: make(map[string]*testInstance)} }

func op(name string) record.Op { return record.JobCancelled{Job: model.JobID(name)} }

func decode(data []byte) (record.Envelope, error) { return record.Decode(data) }
