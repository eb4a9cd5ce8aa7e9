package stream

import (
	"context"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/ports"
)

// counters holds the metrics of a stream.
type counters struct {
	envelopes, operations, appends, appendErrors, repeats, refused, unknownOutcomes *metrics.Counter
	applied, duplicates, gaps, readErrors, relayReads                               *metrics.Counter
	restores, recoveries, resyncs, snapshots, snapshotErrors                        *metrics.Counter
	halted                                                                          *metrics.Gauge
}

func newCounters() *counters {
	return &counters{
		envelopes:       metrics.GetOrCreateCounter("aw_stream_envelopes_total"),
		operations:      metrics.GetOrCreateCounter("aw_stream_operations_total"),
		appends:         metrics.GetOrCreateCounter("aw_stream_appends_total"),
		appendErrors:    metrics.GetOrCreateCounter("aw_stream_append_errors_total"),
		repeats:         metrics.GetOrCreateCounter("aw_stream_repeats_total"),
		refused:         metrics.GetOrCreateCounter("aw_stream_refused_total"),
		unknownOutcomes: metrics.GetOrCreateCounter("aw_stream_unknown_total"),
		applied:         metrics.GetOrCreateCounter("aw_stream_folded_total"),
		duplicates:      metrics.GetOrCreateCounter("aw_stream_duplicates_total"),
		gaps:            metrics.GetOrCreateCounter("aw_stream_gaps_total"),
		readErrors:      metrics.GetOrCreateCounter("aw_stream_read_errors_total"),
		relayReads:      metrics.GetOrCreateCounter("aw_stream_relay_reads_total"),
		restores:        metrics.GetOrCreateCounter("aw_stream_restores_total"),
		recoveries:      metrics.GetOrCreateCounter("aw_stream_recoveries_total"),
		resyncs:         metrics.GetOrCreateCounter("aw_stream_resyncs_total"),
		snapshots:       metrics.GetOrCreateCounter("aw_stream_snapshots_total"),
		snapshotErrors:  metrics.GetOrCreateCounter("aw_stream_snapshot_errors_total"),
		halted:          metrics.GetOrCreateGauge("aw_stream_halted", nil),
	}
}

// dump is the stream's part of the state dump.
type dump struct {
	Status
	QueueEntries   int            `json:"queue-entries"`
	QueueOps       int            `json:"queue-operations"`
	QueueBytes     int            `json:"queue-bytes"`
	InFlight       int64          `json:"in-flight"`
	Outage         bool           `json:"outage"`
	CommitInterval model.Duration `json:"commit-interval"`
	Snapshot       model.Offset   `json:"snapshot"`
	SnapshotTime   time.Time      `json:"snapshot-time"`
	Retention      model.Duration `json:"retention"`
}

// Dump returns the stream's state for the state dump.
func (s *Stream) Dump() any {
	out := dump{
		CommitInterval: model.Duration(s.commitInterval()), Retention: model.Duration(s.retentionPeriod()),
	}
	out.QueueEntries, out.QueueOps, out.QueueBytes = s.queue.length()
	s.mu.Lock()
	defer s.mu.Unlock()
	out.Status = s.status
	out.Outage = s.outage
	out.Snapshot, out.SnapshotTime = s.lastSnapshot.at, s.lastSnapshot.time
	if s.inFlight != nil {
		out.InFlight = s.inFlight.sequence
	}
	return out
}

// ReadLog reads from the log on behalf of a peer; it never relays the call.
func (s *Stream) ReadLog(
	ctx context.Context, from model.Offset, limit int, wait time.Duration,
) (ports.Batch, error) {
	limited, cancel := s.withTimeout(ctx, wait+s.cfg.ReadTimeout)
	defer cancel()
	return s.cfg.Log.Read(limited, from, limit, wait)
}

// AppendLog appends to the log on behalf of a peer; it never relays the call.
func (s *Stream) AppendLog(ctx context.Context, data []byte) (model.Offset, error) {
	limited, cancel := s.withTimeout(ctx, s.cfg.AppendTimeout)
	defer cancel()
	return s.cfg.Log.Append(limited, data)
}

func isTruncated(err error) bool { return errors.Is(err, ports.ErrTruncated) }
