package stream

import (
	"bytes"
	"time"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/ports"
	"arbutuswing.example/internal/record"
)

const (
	// maxPartSets bounds the incomplete snapshots tracked at a time: a writer that dies during a snapshot leaves an
	// incomplete one behind.
	maxPartSets = 8
	// maxParts bounds the number of parts of one snapshot.
	maxParts = 1 << 16
)

// partSetKey identifies a snapshot by its writer too, because parts of different writers must not be mixed.
type partSetKey struct {
	writer      model.InstanceID
	incarnation model.Incarnation
	at          model.Offset
}

// partSet holds the parts of one snapshot that were read so far.
type partSet struct {
	at       model.Offset
	time     time.Time
	parts    [][]byte
	received int
}

func (p *partSet) join() []byte { return bytes.Join(p.parts, nil) }

// partCollector assembles snapshots from the parts read from the log.
type partCollector struct {
	// keepData is set if the data of the parts is kept; otherwise the parts are only counted.
	keepData bool
	sets     map[partSetKey]*partSet
	newest   *partSet
}

func newPartCollector(keepData bool) *partCollector {
	return &partCollector{keepData: keepData, sets: make(map[partSetKey]*partSet)}
}

// addRecord adds the snapshot parts of a record. It ignores malformed records, which are reported when they are
// applied.
func (c *partCollector) addRecord(rec ports.Record) {
	if env, err := record.Decode(rec.Data); err == nil {
		c.addEnvelope(env)
	}
}

// addEnvelope adds the snapshot parts of an envelope and reports whether they completed a snapshot newer than all
// complete ones.
func (c *partCollector) addEnvelope(env record.Envelope) bool {
	completed := false
	for _, op := range env.Ops {
		if part, ok := op.(record.SnapshotPart); ok {
			completed = c.add(env, part) || completed
		}
	}
	return completed
}

func (c *partCollector) add(env record.Envelope, part record.SnapshotPart) bool {
	if part.Parts < 1 || part.Parts > maxParts || part.Part < 1 || part.Part > part.Parts {
		return false
	}
	if c.newest != nil && part.At <= c.newest.at {
		return false
	}
	key := partSetKey{writer: env.Writer, incarnation: env.Incarnation, at: part.At}
	found := c.sets[key]
	if found == nil || len(found.parts) != part.Parts {
		found = &partSet{at: part.At, parts: make([][]byte, part.Parts)}
		c.sets[key] = found
		c.dropOldestIncomplete()
	}
	if found.parts[part.Part-1] != nil {
		return false
	}
	found.parts[part.Part-1] = []byte{}
	if c.keepData {
		found.parts[part.Part-1] = part.Data
	}
	found.received++
	found.time = time.Unix(0, env.Time)
	if found.received < part.Parts {
		return false
	}
	c.newest = found
	for other := range c.sets {
		if other.at <= found.at {
			delete(c.sets, other)
		}
	}
	return true
}

// dropOldestIncomplete drops the incomplete snapshot with the lowest offset if there are more than maxPartSets.
func (c *partCollector) dropOldestIncomplete() {
	if len(c.sets) <= maxPartSets {
		return
	}
	var oldest partSetKey
	first := true
	for key := range c.sets {
		if first || key.at < oldest.at {
			oldest, first = key, false
		}
	}
	delete(c.sets, oldest)
}
