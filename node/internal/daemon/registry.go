package daemon

import (
	"bytes"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"arbutuswing.example/internal/agent"
	adapt "arbutuswing.example/platform"
)

// oddEntries counts the registry entries that were left out because they are invalid.
var oddEntries = metrics.NewCounter(`aw_odd_entries_total`)

// registryView holds the decoded entries of the registry and decodes only those that have changed: in a large fleet a few
// entries change several times a second.
type registryView struct {
	log     *zap.Logger
	decoded map[string]decodedEntry
}

// decodedEntry is the result of decoding a record; an invalid record has no entry.
type decodedEntry struct {
	record []byte
	entry  agent.Entry
	valid  bool
}

func newRegistryView(log *zap.Logger) *registryView {
	return &registryView{log: log, decoded: make(map[string]decodedEntry)}
}

// update returns the valid entries among the records. It logs and counts an invalid record once, until it changes.
func (r *registryView) update(records map[string][]byte) []agent.Entry {
	entries := make([]agent.Entry, 0, len(records))
	for id, record := range records {
		known, ok := r.decoded[id]
		if !ok || !bytes.Equal(known.record, record) {
			entry, err := adapt.DecodeEntry(id, record)
			known = decodedEntry{record, entry, err == nil}
			r.decoded[id] = known
			if err != nil {
				oddEntries.Inc()
				r.log.Warn("worker entry left out", zap.String("worker", id), zap.Error(err))
			}
		}
		if known.valid {
			entries = append(entries, known.entry)
		}
	}
	for id := range r.decoded {
		if _, ok := records[id]; !ok {
			delete(r.decoded, id)
		}
	}
	return entries
}
