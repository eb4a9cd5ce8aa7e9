package member

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"arbutuswing.example/internal/model"
)

// target is a peer that gets a heartbeat.
type target struct {
	instance model.InstanceID
	address  string
}

// runBeats sends heartbeats until ctx ends.
func (s *Service) runBeats(ctx context.Context) {
	var beats sync.WaitGroup
	defer beats.Wait()
	for {
		for _, to := range s.targets(int(s.turn.Add(1)), s.cfg.RemotePeers) {
			if _, under := s.beating.LoadOrStore(to.instance, true); !under {
				beats.Go(func() { s.runBeat(ctx, to) })
			}
		}
		if !s.sleep(ctx, s.cfg.HeartbeatInterval) {
			return
		}
	}
}

func (s *Service) runBeat(ctx context.Context, to target) {
	defer s.beating.Delete(to.instance)
	began := s.cfg.Clock.Now()
	answer, err := s.cfg.HeartbeatClient.Heartbeat(ctx, to.address, s.ownStatus())
	if err != nil {
		s.noteMiss(to.instance, began)
		s.cfg.Logger.Debug("heartbeat failed", zap.String("peer", string(to.instance)), zap.Error(err))
		return
	}
	s.noteAnswer(to.instance, began, answer)
}

// targets returns the peers for one round of heartbeats: all of the own data centre, and some of each other one. There
// the peers that answer come first, so that the same ones are called each time; if too few answer, the others are
// tried in turn.
func (t *Table) targets(turn, far int) []target {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Clock.Now()
	remote := make(map[model.DataCentreID][]*row)
	var out []target
	for _, known := range t.peers {
		switch {
		case known.address == "":
		case known.dataCentre == t.cfg.Self.DataCentre:
			out = append(out, target{instance: known.instance, address: known.address})
		default:
			remote[known.dataCentre] = append(remote[known.dataCentre], known)
		}
	}
	for _, rows := range remote {
		for _, known := range t.choose(rows, turn, far, now) {
			out = append(out, target{instance: known.instance, address: known.address})
		}
	}
	return out
}

// choose picks the peers of one other data centre; each instance prefers others, by rendezvous hashing.
func (t *Table) choose(rows []*row, turn, far int, now time.Time) []*row {
	self := string(t.cfg.Self.Instance)
	slices.SortFunc(rows, func(a, b *row) int {
		if c := cmp.Compare(score(self, b.instance), score(self, a.instance)); c != 0 {
			return c
		}
		return cmp.Compare(a.instance, b.instance)
	})
	var good, bad []*row
	for _, known := range rows {
		if t.answers(known, now) {
			good = append(good, known)
		} else {
			bad = append(bad, known)
		}
	}
	out := good[:min(len(good), far)]
	missing := min(far-len(out), len(bad))
	for i := range missing {
		out = append(out, bad[(turn*missing+i)%len(bad)])
	}
	return out
}

func (s *Service) withTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	return clockwork.WithTimeout(ctx, s.cfg.Clock, d)
}
