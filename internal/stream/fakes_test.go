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

// fakeLog is a log in memory; each instance sees it through a fakeView of its own.
type fakeLog struct {
	mu      sync.Mutex
	records [][]byte
	first   model.Offset
	grown   chan struct{}
	// late holds appends whose answer was lost and that take effect later.
	late [][]byte
}

func newFakeLog() *fakeLog { return &fakeLog{grown: make(chan struct{})} }

func (l *fakeLog) add(data []byte) model.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, data)
	close(l.grown)
	l.grown = make(chan struct{})
	return model.Offset(len(l.records) - 1)
}

func (l *fakeLog) landLate() {
	l.mu.Lock()
	late := l.late
	l.late = nil
	l.mu.Unlock()
	for _, data := range late {
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
		return batch, l.grown, ports.ErrTruncated
	}
	for at := from; at < batch.Next && len(batch.Records) < limit; at++ {
		batch.Records = append(batch.Records, ports.Record{Offset: at, Data: l.records[at]})
	}
	return batch, l.grown, nil
}

// fault is what happens to one append.
type fault int

const (
	// loseAnswer records the append and loses the answer.
	loseAnswer fault = iota
	// loseRequest loses the append, which the writer cannot tell from a lost answer.
	loseRequest
	// landLate records the append at some later time.
	landLate
	// throttle refuses the append.
	throttle
	// hang records the append and never answers.
	hang
	// hangLate never answers and records the append at some later time.
	hangLate
)

// fakeView is one instance's access to the log.
type fakeView struct {
	log *fakeLog

	mu      sync.Mutex
	down    bool
	mute    bool
	faults  []fault
	appends int
	reads   int
	// twist alters the answers to reads.
	twist func(ports.Batch) ports.Batch
}

func (v *fakeView) set(change func(*fakeView)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	change(v)
}

func (v *fakeView) next() (down, mute bool, f fault, faulty bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.appends++
	if v.down || v.mute || len(v.faults) == 0 {
		return v.down, v.mute, 0, false
	}
	f, v.faults = v.faults[0], v.faults[1:]
	return false, false, f, true
}

func (v *fakeView) Append(ctx context.Context, data []byte) (model.Offset, error) {
	down, mute, f, faulty := v.next()
	switch {
	case mute:
		<-ctx.Done()
		return model.NoOffset, ctx.Err()
	case down:
		return model.NoOffset, ports.ErrUnavailable
	case !faulty:
		return v.log.add(data), nil
	}
	switch f {
	case throttle:
		return model.NoOffset, ports.ErrThrottled
	case landLate, hangLate:
		v.log.mu.Lock()
		v.log.late = append(v.log.late, data)
		v.log.mu.Unlock()
	case loseAnswer, hang:
		v.log.add(data)
	case loseRequest:
	}
	if f == hang || f == hangLate {
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
		down, mute, twist := v.down, v.mute, v.twist
		v.mu.Unlock()
		if down {
			return ports.Batch{}, ports.ErrUnavailable
		}
		batch, grown, err := v.log.read(from, limit)
		if !mute && (err != nil || len(batch.Records) > 0 || wait == 0) {
			if twist != nil {
				batch = twist(batch)
			}
			return batch, err
		}
		if mute {
			deadline = nil
		}
		select {
		case <-ctx.Done():
			return ports.Batch{}, ctx.Err()
		case <-deadline:
			return batch, nil
		case <-grown:
		}
	}
}

// node is one instance with its stream; peers call each other's streams directly.
type node struct {
	name   model.InstanceID
	view   *fakeView
	folder *fakeFolder
	stream *Stream
	stop   context.CancelFunc
	done   chan struct{}
}

// fakeNet is the peers' network.
type fakeNet struct {
	mu    sync.Mutex
	nodes map[string]*node
	cut   bool
}

type fakePeers struct {
	net  *fakeNet
	self model.InstanceID
}

func (n *fakeNet) others(self model.InstanceID) []*node {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []*node
	for name, other := range n.nodes {
		if name != string(self) && !n.cut {
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
			LogAnswers: time.Since(status.Direct) < 2*time.Second,
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
	if other, ok := n.nodes[address]; ok && !n.cut {
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

// start runs a new incarnation of an instance without memory.
func (n *fakeNet) start(name model.InstanceID, view *fakeView, change func(*Config)) *node {
	made := &node{name: name, view: view, folder: newFakeFolder(), done: make(chan struct{})}
	cfg := Config{
		Instance: name, Incarnation: model.Incarnation(time.Now().UnixNano()), Log: view, Folder: made.folder,
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
	n.nodes[string(name)] = made
	n.mu.Unlock()
	go made.run(ctx)
	return made
}

func (n *node) run(ctx context.Context) {
	defer close(n.done)
	if err := n.stream.Run(ctx); err != nil {
		panic(err)
	}
}

func (n *node) halt() {
	n.stop()
	<-n.done
}

func (n *fakeNet) setCut(cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

func (n *fakeNet) haltAll() {
	for _, other := range n.nodes {
		other.halt()
	}
}

func newNet() *fakeNet { return &fakeNet{nodes: make(map[string]*node)} }

func op(name string) record.Op { return record.JobCancelled{Job: model.JobID(name)} }

func decode(data []byte) (record.Envelope, error) { return record.Decode(data) }
