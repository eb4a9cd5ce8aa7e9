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

// relayPause is the interval at which the need for a relay is checked.
const relayPause = 100 * time.Millisecond

// runRelay reads the log through a peer while the log itself does not answer. While no peer has the log either, it
// takes newer states from peers, because an outage leaves the last state in force, not the last one seen here.
func (s *Stream) runRelay(ctx context.Context) {
	for ctx.Err() == nil {
		if s.cfg.Clock.Since(s.Status().Direct) < s.cfg.RelayAfter {
			s.sleep(ctx, relayPause)
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
		s.sleep(ctx, relayPause)
	}
}

// relayOnce reads once through a peer and reports whether one has the log.
func (s *Stream) relayOnce(ctx context.Context) (bool, error) {
	source, ok := s.pickRelay()
	if !ok {
		return false, s.catchUp(ctx)
	}
	s.metrics.relayReads.Inc()
	return true, s.readOnce(ctx, routeRelay, s.through(source))
}

// through returns a reader of the log by way of a peer.
func (s *Stream) through(source Source) reader {
	return func(ctx context.Context, from model.Offset, limit int, wait time.Duration) (ports.Batch, error) {
		return s.cfg.Relay.ReadLog(ctx, source.Address, from, limit, wait)
	}
}

// pickRelay returns a peer that reads the log, another one after each call so that a bad one is not stuck to.
func (s *Stream) pickRelay() (Source, bool) {
	var with []Source
	for _, source := range s.cfg.Peers.Sources() {
		if source.LogAnswers {
			with = append(with, source)
		}
	}
	if len(with) == 0 {
		return Source{}, false
	}
	return with[int(s.turn.Add(1))%len(with)], true
}

// catchUp takes the newest state of the reachable peers; it returns errNoPeer if there is nothing newer to take. The
// instance is ready then, provided that a peer confirmed the state.
func (s *Stream) catchUp(ctx context.Context) error {
	s.recovering.Lock()
	defer s.recovering.Unlock()
	err := s.restoreFromPeers(ctx)
	if errors.Is(err, errNoPeer) && len(newestFirst(s.cfg.Peers.Sources(), model.NoOffset-1)) > 0 {
		s.setReady()
	}
	return err
}

// newestFirst returns the peers that can serve a state newer than offset, the newest first and near ones before far
// ones.
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
