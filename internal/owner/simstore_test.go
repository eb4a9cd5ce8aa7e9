package owner

import (
	"context"
	"maps"
	"math/rand"
	"slices"
	"sync"
	"time"

	"arbutuswing.example/internal/ledger"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/pause"
)

const (
	// simCallTimeout is how long a node waits for an answer of the simulated store.
	simCallTimeout = 1200 * time.Millisecond
	// simPartitions is how many partitions the topics of a group have, and simPageKeys how many keys a page of newest records
	// holds.
	simPartitions = 24
	simPageKeys   = 3
)

// simStore is a store whose appends are fenced by the epochs of their producers, topic by topic, and whose pages of newest records
// are not a snapshot.
type simStore struct {
	mu     sync.Mutex
	topics map[ledger.Topic]*simTopic
	groups map[string]*simGroup
	// fencesTakeNumbers tells that an append without records takes a sequence number, and repeatsGenerations that a group whose
	// partitions are dealt anew keeps its generation.
	fencesTakeNumbers, repeatsGenerations bool
}

type simTopic struct {
	records   []ledger.Record
	first     int64
	producers map[string]*simProducer
}

type simProducer struct {
	epoch, sequence int64
	// numbered tells that the epoch has a sequence number, and answers holds the last five with an answer.
	numbered bool
	answers  []int64
}

type simGroup struct {
	generation int64
	members    map[string]time.Time
	holders    []string
}

func newSimStore() *simStore {
	return &simStore{topics: make(map[ledger.Topic]*simTopic), groups: make(map[string]*simGroup)}
}

func (s *simStore) topic(name ledger.Topic) *simTopic {
	if s.topics[name] == nil {
		s.topics[name] = &simTopic{producers: make(map[string]*simProducer)}
	}
	return s.topics[name]
}

func (s *simStore) append(b ledger.Batch) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(b.Topic)
	p := t.producers[b.Producer]
	if p == nil {
		p = &simProducer{epoch: -1}
		t.producers[b.Producer] = p
	}
	switch {
	case b.Epoch < p.epoch:
		return ledger.ErrFenced
	case b.Epoch > p.epoch:
		*p = simProducer{epoch: b.Epoch}
	}
	if len(b.Records) == 0 && !s.fencesTakeNumbers {
		return nil
	}
	if slices.Contains(p.answers, b.Sequence) {
		return nil
	}
	if p.numbered && b.Sequence != p.sequence+1 {
		return ledger.ErrProtocol
	}
	p.sequence, p.numbered = b.Sequence, true
	p.answers = append(p.answers, b.Sequence)
	p.answers = p.answers[max(0, len(p.answers)-5):]
	for _, r := range b.Records {
		r.Offset = int64(len(t.records))
		t.records = append(t.records, r)
	}
	return nil
}

// page returns up to simPageKeys newest records whose keys come after a key, and the end of the topic.
func (s *simStore) page(topic ledger.Topic, after string) ([]ledger.Record, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topic)
	newest := make(map[string]ledger.Record)
	for _, r := range t.records {
		newest[r.Key] = r
	}
	maps.DeleteFunc(newest, func(key string, r ledger.Record) bool { return len(r.Value) == 0 || key <= after })
	keys := slices.Sorted(maps.Keys(newest))
	keys = keys[:min(len(keys), simPageKeys)]
	list := make([]ledger.Record, 0, len(keys))
	for _, key := range keys {
		list = append(list, newest[key])
	}
	return list, int64(len(t.records))
}

// read returns the records from an offset on, or false if they are trimmed.
func (s *simStore) read(topic ledger.Topic, from int64) (ledger.Page, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topic)
	if from < t.first {
		return ledger.Page{}, false
	}
	list := slices.Clone(t.records[min(from, int64(len(t.records))):])
	return ledger.Page{Records: list, Next: from + int64(len(list))}, true
}

// trim drops the history of a topic.
func (s *simStore) trim(topic ledger.Topic) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topic)
	t.first = int64(len(t.records))
}

func (s *simStore) group(name string) *simGroup {
	if s.groups[name] == nil {
		s.groups[name] = &simGroup{members: make(map[string]time.Time), holders: make([]string, simPartitions)}
	}
	g := s.groups[name]
	for member, last := range g.members {
		if time.Since(last) > memberTTL {
			delete(g.members, member)
			g.assign(0)
		}
	}
	return g
}

// assign distributes the partitions over the members, the first one to the member at the given place.
func (g *simGroup) assign(shift int) {
	g.generation++
	members := slices.Sorted(maps.Keys(g.members))
	for i := range g.holders {
		g.holders[i] = ""
		if len(members) > 0 {
			g.holders[i] = members[(i+shift)%len(members)]
		}
	}
}

func (s *simStore) join(m ledger.Membership) ledger.Assignment {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(m.Group)
	_, known := g.members[m.Member]
	g.members[m.Member] = time.Now()
	if !known {
		g.assign(0)
	}
	a := ledger.Assignment{Generation: g.generation}
	for i, holder := range g.holders {
		if holder == m.Member {
			a.Partitions = append(a.Partitions, i)
		}
	}
	return a
}

func (s *simStore) leave(m ledger.Membership) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(m.Group)
	if _, known := g.members[m.Member]; known {
		delete(g.members, m.Member)
		g.assign(0)
	}
}

func (s *simStore) holders(name string) []ledger.Holder {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []ledger.Holder
	for i, holder := range s.group(name).holders {
		if holder != "" {
			list = append(list, ledger.Holder{Partition: i, Member: holder})
		}
	}
	return list
}

// reassign distributes the partitions anew without a request, as the store does at times.
func (s *simStore) reassign(name string, shift int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(name)
	g.assign(shift)
	if s.repeatsGenerations {
		g.generation--
	}
}

// simConnection is a node's connection to the store.
type simConnection struct {
	store *simStore

	mu     sync.Mutex
	random *rand.Rand
	// frozenUntil is until when the node's process stands still.
	frozenUntil time.Time
	// loss is the share of writes that go unanswered; of these a third is lost, a third executed late and a third executed.
	loss float64
	// refusals is the share of calls that are refused.
	refusals float64
	// cutAppends and cutReads tell which topics don't answer, and cutGroups that the groups don't answer.
	cutAppends, cutReads map[ledger.Topic]bool
	cutGroups            bool
	// cutWorkers tells which workers the node doesn't reach.
	cutWorkers map[model.WorkerID]bool
}

func newSimConnection(store *simStore, seed int64) *simConnection {
	return &simConnection{
		store: store, random: rand.New(rand.NewSource(seed)), cutAppends: make(map[ledger.Topic]bool),
		cutReads: make(map[ledger.Topic]bool), cutWorkers: make(map[model.WorkerID]bool),
	}
}

func (c *simConnection) set(change func(*simConnection)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(c)
}

func (c *simConnection) freeze(d time.Duration) {
	c.set(func(c *simConnection) { c.frozenUntil = time.Now().Add(d) })
}

// heal ends all troubles but a freeze.
func (c *simConnection) heal() {
	c.set(func(c *simConnection) {
		c.loss, c.refusals, c.cutGroups = 0, 0, false
		clear(c.cutAppends)
		clear(c.cutReads)
		clear(c.cutWorkers)
	})
}

// thaw waits until the process runs.
func (c *simConnection) thaw(ctx context.Context) {
	for ctx.Err() == nil {
		c.mu.Lock()
		left := time.Until(c.frozenUntil)
		c.mu.Unlock()
		if left <= 0 {
			return
		}
		pause.For(ctx, left)
	}
}

// fate is what happens to a call: its way to the store and back, whether it is executed, how late, and whether it is answered.
type fate struct {
	way                         time.Duration
	refused, executed, answered bool
	late                        time.Duration
}

func (c *simConnection) draw(write, cut bool) fate {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := fate{way: time.Duration(1+c.random.Intn(20)) * time.Millisecond, executed: true, answered: true}
	switch {
	case cut:
		f.executed, f.answered = false, false
	case c.random.Float64() < c.refusals:
		f.refused = true
	case write && c.random.Float64() < c.loss:
		f.answered = false
		switch c.random.Intn(3) {
		case 0:
			f.executed = false
		case 1:
			f.late = time.Duration(1000+c.random.Intn(5000)) * time.Millisecond
		}
	}
	return f
}

// call makes a call; the process may stand still before and after it.
func (c *simConnection) call(ctx context.Context, write, cut bool, execute func() error) error {
	c.thaw(ctx)
	f := c.draw(write, cut)
	pause.For(ctx, f.way)
	var err error
	switch {
	case f.refused:
		err = ledger.ErrRefused
	case f.late > 0:
		time.AfterFunc(f.late, func() { _ = execute() })
	case f.executed:
		err = execute()
	}
	if !f.answered {
		pause.For(ctx, simCallTimeout)
		err = ledger.ErrNoAnswer
	}
	pause.For(ctx, f.way)
	c.thaw(ctx)
	return err
}

func (c *simConnection) cutTopic(topic ledger.Topic, read bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if read {
		return c.cutReads[topic]
	}
	return c.cutAppends[topic]
}

func (c *simConnection) groupsCut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cutGroups
}

func (c *simConnection) Append(ctx context.Context, b ledger.Batch) error {
	b.Records = slices.Clone(b.Records)
	return c.call(ctx, true, c.cutTopic(b.Topic, false), func() error { return c.store.append(b) })
}

func (c *simConnection) Newest(ctx context.Context, topic ledger.Topic, _ int) (ledger.Page, error) {
	var page ledger.Page
	for after, first := "", true; ; first = false {
		var records []ledger.Record
		var end int64
		err := c.call(ctx, false, c.cutTopic(topic, true), func() error {
			records, end = c.store.page(topic, after)
			return nil
		})
		if err != nil {
			return ledger.Page{}, err
		}
		if first {
			page.Next = end
		}
		page.Records = append(page.Records, records...)
		if len(records) < simPageKeys {
			return page, nil
		}
		after = records[len(records)-1].Key
	}
}

func (c *simConnection) Read(
	ctx context.Context, topic ledger.Topic, _ int, from int64, wait time.Duration,
) (page ledger.Page, err error) {
	for begun := time.Now(); ; pause.For(ctx, 20*time.Millisecond) {
		kept := true
		err := c.call(ctx, false, c.cutTopic(topic, true), func() error {
			page, kept = c.store.read(topic, from)
			return nil
		})
		switch {
		case err != nil:
			return ledger.Page{}, err
		case !kept:
			return ledger.Page{}, ledger.ErrTrimmed
		case ctx.Err() != nil || len(page.Records) > 0 || time.Since(begun) >= wait:
			return page, nil
		}
	}
}

func (c *simConnection) Join(ctx context.Context, m ledger.Membership) (a ledger.Assignment, err error) {
	var mu sync.Mutex
	err = c.call(ctx, true, c.groupsCut(), func() error {
		mu.Lock()
		defer mu.Unlock()
		a = c.store.join(m)
		return nil
	})
	mu.Lock()
	defer mu.Unlock()
	return a, err
}

func (c *simConnection) Leave(ctx context.Context, m ledger.Membership) error {
	return c.call(ctx, true, c.groupsCut(), func() error {
		c.store.leave(m)
		return nil
	})
}

func (c *simConnection) Holders(ctx context.Context, group string) (holders []ledger.Holder, err error) {
	err = c.call(ctx, false, c.groupsCut(), func() error {
		holders = c.store.holders(group)
		return nil
	})
	return holders, err
}
