package stream

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/ports"
)

// relayCheckInterval is how often the stream checks whether it has to read through a peer.
const relayCheckInterval = 100 * time.Millisecond

// runRelay reads the log through a peer while the log does not answer this instance. While no peer can read the log
// either, it restores newer states from peers: in an outage, the newest state that any instance has seen is the one in
// force.
func (s *Stream) runRelay(ctx context.Context) {
	for ctx.Err() == nil {
		if s.cfg.Clock.Since(s.Status().LastDirectRead) < s.cfg.RelayAfter {
			s.sleep(ctx, relayCheckInterval)
			continue
		}
		relayed, err := s.relayOnce(ctx)
		switch {
		case err == nil && relayed:
			continue
		case errors.Is(err, errHalted):
			return
		case errors.Is(err, ports.ErrTruncated), errors.Is(err, errGap):
			err = s.recover(ctx)
		}
		if err != nil && !errors.Is(err, errNoPeer) {
			s.cfg.Logger.Debug("reading the log through a peer failed", zap.Error(err))
		}
		s.sleep(ctx, relayCheckInterval)
	}
}

// relayOnce reads the log once through a peer; it returns false if no peer can read the log.
func (s *Stream) relayOnce(ctx context.Context) (bool, error) {
	source, ok := s.pickRelay()
	if !ok {
		return false, s.catchUp(ctx)
	}
	s.metrics.relayReads.Inc()
	return true, s.readOnce(ctx, pathRelay, s.readerThrough(source))
}

// readerThrough returns a function that reads the log through the peer.
func (s *Stream) readerThrough(source Source) reader {
	return func(ctx context.Context, from model.Offset, limit int, wait time.Duration) (ports.Batch, error) {
		return s.cfg.Relay.ReadLog(ctx, source.Address, from, limit, wait)
	}
}

// pickRelay returns a peer that can read the log. It takes the next one with each call, so that a failing peer is not
// used again and again.
func (s *Stream) pickRelay() (Source, bool) {
	var candidates []Source
	for _, source := range s.cfg.Peers.Sources() {
		if source.LogAnswers {
			candidates = append(candidates, source)
		}
	}
	if len(candidates) == 0 {
		return Source{}, false
	}
	return candidates[int(s.nextRelay.Add(1))%len(candidates)], true
}

// catchUp restores the newest state of the reachable peers; it returns errNoPeer if no peer has a newer one. In that
// case the instance becomes ready, provided that at least one peer has a state.
func (s *Stream) catchUp(ctx context.Context) error {
	s.restoreMu.Lock()
	defer s.restoreMu.Unlock()
	err := s.restoreFromPeers(ctx)
	if errors.Is(err, errNoPeer) && len(newestFirst(s.cfg.Peers.Sources(), model.NoOffset-1)) > 0 {
		s.setReady()
	}
	return err
}

// newestFirst returns the peers that can serve a state newer than offset, ordered by offset, the newest first; among
// equals, peers in this data centre come first.
func newestFirst(sources []Source, offset model.Offset) []Source {
	sources = slices.DeleteFunc(slices.Clone(sources), func(source Source) bool {
		return !source.Ready || source.Applied <= offset
	})
	slices.SortStableFunc(sources, func(a, b Source) int {
		if a.Applied != b.Applied {
			return int(b.Applied - a.Applied)
		}
		if a.Local != b.Local && a.Local {
			return -1
		}
		if a.Local != b.Local {
			return 1
		}
		return 0
	})
	return sources
}
