package slopes

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"arbutuswing.example/bench/internal/fits"
	"arbutuswing.example/bench/internal/rigs"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/peer"
	"arbutuswing.example/internal/ports"
	"arbutuswing.example/internal/record"
	"arbutuswing.example/internal/state"
	"arbutuswing.example/internal/stream"
)

// errNotReady reports a stream that did not become ready, or instances that did not find each other, in time.
var errNotReady = errors.New("not ready in time")

const (
	readyTimeout      = time.Minute
	readyPollInterval = 5 * time.Millisecond
	// tasksPerRecord is the number of tasks that one envelope ends and binds: 20 starts per append, as planned at peak
	// load.
	tasksPerRecord = 20
)

// memLog is a log in memory.
type memLog struct {
	mu      sync.Mutex
	records [][]byte
}

// Append implements ports.Log.
func (l *memLog) Append(_ context.Context, data []byte) (model.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, append([]byte(nil), data...))
	return model.Offset(len(l.records) - 1), nil
}

// Read implements ports.Log.
func (l *memLog) Read(ctx context.Context, from model.Offset, limit int, wait time.Duration) (ports.Batch, error) {
	for end := time.Now().Add(wait); ; {
		if batch := l.readBatch(from, limit); len(batch.Records) > 0 || !time.Now().Before(end) || ctx.Err() != nil {
			return batch, ctx.Err()
		}
		time.Sleep(readyPollInterval)
	}
}

func (l *memLog) readBatch(from model.Offset, limit int) ports.Batch {
	l.mu.Lock()
	defer l.mu.Unlock()
	batch := ports.Batch{Next: model.Offset(len(l.records))}
	for at := max(0, from); at < batch.Next && len(batch.Records) < limit; at++ {
		batch.Records = append(batch.Records, ports.Record{Offset: at, Data: l.records[at]})
	}
	return batch
}

// noPeers implements stream.Peers and stream.Relay for an instance without peers.
type noPeers struct{}

// Count implements stream.Peers.
func (noPeers) Count() int { return 1 }

// Sources implements stream.Peers.
func (noPeers) Sources() []stream.Source { return nil }

// IsElected implements stream.Peers.
func (noPeers) IsElected(string) bool { return false }

// ReadLog implements stream.Relay.
func (noPeers) ReadLog(context.Context, string, model.Offset, int, time.Duration) (ports.Batch, error) {
	return ports.Batch{}, peer.ErrUnreachable
}

// AppendLog implements stream.Relay.
func (noPeers) AppendLog(context.Context, string, []byte) (model.Offset, error) {
	return model.NoOffset, ports.ErrUnavailable
}

// Snapshot implements stream.Relay.
func (noPeers) Snapshot(context.Context, string) (peer.Snapshot, error) {
	return peer.Snapshot{}, peer.ErrUnreachable
}

// timeToReady measures how long a new instance takes to read and apply logs of several lengths without a snapshot.
func timeToReady(Config) ([]fits.Series, error) {
	var points []fits.Point
	for _, n := range []int{1_000, 2_500, 5_000} {
		log, err := turnoverLog(n)
		if err != nil {
			return nil, err
		}
		took, err := measureReady(log)
		if err != nil {
			return nil, err
		}
		points = append(points, fits.Point{X: float64(n), Y: milliseconds(took)})
	}
	name := fmt.Sprintf("new instance ready from the log alone (%d operations a record)", 2*tasksPerRecord)
	return []fits.Series{fits.New(name, "record", "ms", points)}, nil
}

// turnoverLog returns a log of n envelopes that end and bind tasks.
func turnoverLog(n int) (*memLog, error) {
	log := &memLog{}
	size := rigs.Size{Workers: 750, Teams: 28, Bound: 3_400}
	r, err := rigs.NewRecorded(size, func(env record.Envelope) error {
		data, err := record.Encode(env)
		if err != nil {
			return err
		}
		_, err = log.Append(context.Background(), data)
		return err
	})
	for i := 0; err == nil && len(log.records) < n; i++ {
		err = r.ApplyOps(r.Turnover(i*tasksPerRecord, tasksPerRecord)...)
	}
	return log, err
}

func measureReady(log *memLog) (time.Duration, error) {
	machine, err := rigs.NewMachine()
	if err != nil {
		return 0, err
	}
	s, err := newStream("entry-new", log, machine)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	var done sync.WaitGroup
	defer done.Wait()
	defer cancel()
	began := time.Now()
	done.Go(func() { _ = s.Run(ctx) })
	for !s.Ready() || machine.Offset() < model.Offset(len(log.records)-1) {
		if ctx.Err() != nil {
			return 0, fmt.Errorf("applying %d records: %w", len(log.records), errNotReady)
		}
		time.Sleep(readyPollInterval)
	}
	return time.Since(began), nil
}

func newStream(id model.InstanceID, log ports.Log, machine *state.Machine) (*stream.Stream, error) {
	return stream.New(stream.Config{
		Instance: id, Incarnation: model.Incarnation(time.Now().UnixNano()), Log: log, StateMachine: machine,
		Peers: noPeers{}, Relay: noPeers{},
	})
}
