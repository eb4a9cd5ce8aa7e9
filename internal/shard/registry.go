package shard

import "time"

// registryReads tells when the workers' registry was last read.
type registryReads struct {
	// begunAt is when the last successful read began, and endedAt when it ended.
	begunAt, endedAt time.Duration
}

// NoteRegistryRead notes a successful read of the workers' registry whose changes SetRegistry has applied. Only reads that follow
// each other prove that a worker is gone: entries that expired while the registry was unavailable come back after it.
func (s *Shard) NoteRegistryRead(begun, ended time.Duration) {
	interrupted := begun-s.registry.endedAt > registryInterruption
	s.registry = registryReads{begun, ended}
	for _, w := range s.workersByID {
		if w.listed {
			continue
		}
		if !w.missing || interrupted {
			w.missing, w.missingSince = true, begun
		}
		if !w.gone && begun-w.missingSince > unlistedGrace {
			w.gone, w.goneAt = true, begun
			s.emit("worker-gone", "", "", w, "", (begun - w.missingSince).Milliseconds())
		}
	}
}

// notBackBy reports whether no incarnation of a gone worker had come back by the given time: it would be listed by now.
func (s *Shard) notBackBy(w *worker, at time.Duration) bool {
	return w.gone && s.registry.begunAt-max(at, w.missingSince) > unlistedGrace
}
