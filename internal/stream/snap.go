package stream

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"io"
	"time"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/peer"
)

const (
	// snapshotLimit bounds an expanded snapshot in bytes, so that a damaged one cannot exhaust the memory.
	snapshotLimit = 1 << 30
	// snapshotReuse is how long a snapshot for peers is reused: instances that start together then cost one encoding.
	snapshotReuse = 500 * time.Millisecond
)

// cachedSnapshot is the last snapshot made for peers.
type cachedSnapshot struct {
	snap peer.Snapshot
	made time.Time
}

// Snapshot returns the folded state for a peer; it returns peer.ErrNotReady while this instance has no state worth
// giving.
func (s *Stream) Snapshot(context.Context) (peer.Snapshot, error) {
	if !s.Ready() {
		return peer.Snapshot{}, fmt.Errorf("making a snapshot: %w", peer.ErrNotReady)
	}
	s.snapshots.Lock()
	defer s.snapshots.Unlock()
	now := s.cfg.Clock.Now()
	if s.cached.snap.Data == nil || now.Sub(s.cached.made) > snapshotReuse {
		at, data, err := s.encodeState()
		if err != nil {
			return peer.Snapshot{}, err
		}
		s.cached = cachedSnapshot{snap: peer.Snapshot{At: at, Data: data}, made: now}
	}
	out, newest := s.cached.snap, s.newestRecorded()
	out.Recorded, out.RecordedAge = newest.at, now.Sub(newest.time)
	return out, nil
}

// encodeState returns the compressed state and the offset that it describes.
func (s *Stream) encodeState() (model.Offset, []byte, error) {
	s.fold.Lock()
	at := s.folded
	raw, err := s.cfg.Folder.Snapshot()
	s.fold.Unlock()
	if err != nil {
		return 0, nil, fmt.Errorf("encoding the state at offset %d: %w", at, err)
	}
	data, err := compress(raw)
	return at, data, err
}

// restore replaces the folded state by a compressed snapshot; it returns errNotNewer for one that is not newer.
func (s *Stream) restore(at model.Offset, data []byte) error {
	raw, err := expand(data)
	if err != nil {
		return err
	}
	s.fold.Lock()
	defer s.fold.Unlock()
	if at <= s.folded {
		return fmt.Errorf("%w: offset %d", errNotNewer, at)
	}
	if halted := s.Status().Halted; halted != "" {
		return fmt.Errorf("%w: %s", errHalted, halted)
	}
	if _, err := s.cfg.Folder.Restore(raw); err != nil {
		return fmt.Errorf("restoring the state at offset %d: %w", at, err)
	}
	s.folded = max(s.cfg.Folder.Offset(), s.folded)
	s.setApplied(s.folded)
	s.metrics.restores.Inc()
	s.resyncAll()
	s.repeatFlight()
	return nil
}

func compress(raw []byte) ([]byte, error) {
	var out bytes.Buffer
	writer, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compressing a snapshot: %w", err)
	}
	if _, err := writer.Write(raw); err != nil {
		return nil, fmt.Errorf("compressing a snapshot: %w", err)
	}
	if err := writer.Close(); err != nil {
		return nil, fmt.Errorf("compressing a snapshot: %w", err)
	}
	return out.Bytes(), nil
}

func expand(data []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("expanding a snapshot: %w", err)
	}
	raw, err := io.ReadAll(io.LimitReader(reader, snapshotLimit))
	if err != nil {
		return nil, fmt.Errorf("expanding a snapshot: %w", err)
	}
	return raw, nil
}
