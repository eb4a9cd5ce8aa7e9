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

// target is a peer to which a heartbeat is sent.
type target struct {
	instance model.InstanceID
	address  string
}

// runHeartbeats sends heartbeats until ctx ends. A peer whose last heartbeat is still in flight is skipped.
func (s *Service) runHeartbeats(ctx context.Context) {
	var beats sync.WaitGroup
	defer beats.Wait()
	for {
		for _, peer := range s.heartbeatTargets(int(s.round.Add(1)), s.cfg.RemotePeers) {
			if _, pending := s.inFlight.LoadOrStore(peer.instance, true); !pending {
				beats.Go(func() { s.runHeartbeat(ctx, peer) })
			}
		}
		if !s.sleep(ctx, s.cfg.HeartbeatInterval) {
			return
		}
	}
}

// runHeartbeat sends one heartbeat and records the result.
func (s *Service) runHeartbeat(ctx context.Context, peer target) {
	defer s.inFlight.Delete(peer.instance)
	began := s.cfg.Clock.Now()
	answer, err := s.cfg.HeartbeatClient.Heartbeat(ctx, peer.address, s.ownStatus())
	if err != nil {
		s.recordMiss(peer.instance, began)
		s.cfg.Logger.Debug("heartbeat failed", zap.String("peer", string(peer.instance)), zap.Error(err))
		return
	}
	s.recordAnswer(peer.instance, began, answer)
}

// heartbeatTargets returns the peers for one round of heartbeats: all in this data centre, and up to perDataCentre in
// each other data centre. There, peers that respond are preferred, so that the same ones are called in every round; if
// fewer than perDataCentre respond, the others are tried in turn.
func (t *Table) heartbeatTargets(round, perDataCentre int) []target {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Clock.Now()
	remote := make(map[model.DataCentreID][]*peerEntry)
	var out []target
	for _, entry := range t.peers {
		switch {
		case entry.address == "":
		case entry.dataCentre == t.cfg.Self.DataCentre:
			out = append(out, target{instance: entry.instance, address: entry.address})
		default:
			remote[entry.dataCentre] = append(remote[entry.dataCentre], entry)
		}
	}
	for _, candidates := range remote {
		for _, entry := range t.chooseRemotePeers(candidates, round, perDataCentre, now) {
			out = append(out, target{instance: entry.instance, address: entry.address})
		}
	}
	return out
}

// chooseRemotePeers chooses the peers to call in one other data centre. They are in rendezvous order for this instance,
// so that different instances prefer different peers.
func (t *Table) chooseRemotePeers(candidates []*peerEntry, round, perDataCentre int, now time.Time) []*peerEntry {
	self := string(t.cfg.Self.Instance)
	slices.SortFunc(candidates, func(a, b *peerEntry) int {
		if c := cmp.Compare(rendezvousScore(self, b.instance), rendezvousScore(self, a.instance)); c != 0 {
			return c
		}
		return cmp.Compare(a.instance, b.instance)
	})
	var responsive, silent []*peerEntry
	for _, entry := range candidates {
		if t.responding(entry, now) {
			responsive = append(responsive, entry)
		} else {
			silent = append(silent, entry)
		}
	}
	out := responsive[:min(len(responsive), perDataCentre)]
	spare := min(perDataCentre-len(out), len(silent))
	for i := range spare {
		out = append(out, silent[(round*spare+i)%len(silent)])
	}
	return out
}

func (s *Service) withTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	return clockwork.WithTimeout(ctx, s.cfg.Clock, d)
}
