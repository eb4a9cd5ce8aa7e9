package stream

import (
	"bytes"
	"time"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/ports"
	"arbutuswing.example/internal/record"
)

const (
	// groupLimit bounds the incomplete snapshots that are followed at a time; a writer that died leaves one behind.
	groupLimit = 8
	// partLimit bounds the parts of one snapshot.
	partLimit = 1 << 16
)

// groupKey tells the snapshots of different writers apart; their parts must not be mixed.
type groupKey struct {
	writer      model.InstanceID
	incarnation model.Incarnation
	at          model.Offset
}

// group is a snapshot of which some or all parts were read.
type group struct {
	at    model.Offset
	time  time.Time
	parts [][]byte
	have  int
}

func (g *group) join() []byte { return bytes.Join(g.parts, nil) }

// collector puts the parts of snapshots together.
type collector struct {
	// keep tells whether the contents of parts are kept, or only counted.
	keep   bool
	groups map[groupKey]*group
	newest *group
}

func newCollector(keep bool) *collector {
	return &collector{keep: keep, groups: make(map[groupKey]*group)}
}

// addRecord takes the parts out of a record; malformed records are left to the fold to report.
func (c *collector) addRecord(rec ports.Record) {
	if env, err := record.Decode(rec.Data); err == nil {
		c.addEnvelope(env)
	}
}

// addEnvelope takes the parts out of an envelope and reports whether one of them completed the newest snapshot.
func (c *collector) addEnvelope(env record.Envelope) bool {
	completed := false
	for _, op := range env.Ops {
		if part, ok := op.(record.SnapshotPart); ok {
			completed = c.add(env, part) || completed
		}
	}
	return completed
}

func (c *collector) add(env record.Envelope, part record.SnapshotPart) bool {
	if part.Parts < 1 || part.Parts > partLimit || part.Part < 1 || part.Part > part.Parts {
		return false
	}
	if c.newest != nil && part.At <= c.newest.at {
		return false
	}
	key := groupKey{writer: env.Writer, incarnation: env.Incarnation, at: part.At}
	found := c.groups[key]
	if found == nil || len(found.parts) != part.Parts {
		found = &group{at: part.At, parts: make([][]byte, part.Parts)}
		c.groups[key] = found
		c.trim()
	}
	if found.parts[part.Part-1] != nil {
		return false
	}
	found.parts[part.Part-1] = []byte{}
	if c.keep {
		found.parts[part.Part-1] = part.Data
	}
	found.have++
	found.time = time.Unix(0, env.Time)
	if found.have < part.Parts {
		return false
	}
	c.newest = found
	for other := range c.groups {
		if other.at <= found.at {
			delete(c.groups, other)
		}
	}
	return true
}

// trim drops the oldest incomplete snapshot when there are too many.
func (c *collector) trim() {
	if len(c.groups) <= groupLimit {
		return
	}
	var oldest groupKey
	first := true
	for key := range c.groups {
		if first || key.at < oldest.at {
			oldest, first = key, false
		}
	}
	delete(c.groups, oldest)
}
