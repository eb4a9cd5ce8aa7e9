package owner

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
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
	// simMaxStep bounds the moment that each step of a node takes.
	simMaxStep = 100 * time.Microsecond
	// simMinStall and simMaxStall bound how long a process stands still between two steps, and simStallShare and simFirstStallShare
	// tell how often it does before a step that was taken often, and before one that wasn't.
	simMinStall, simMaxStall          = 50 * time.Millisecond, 12 * time.Second
	simStallShare, simFirstStallShare = 0.001, 0.1
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

// simConnection is a node's connection to the store and the workers.
type simConnection struct {
	store *simStore
	draws simDraws
	trace *simTrace

	mu sync.Mutex
	// drawn counts the draws for each name.
	drawn map[string]int
	// frozenUntil is until when the node's process stands still.
	frozenUntil time.Time
	// killed tells that the process has ended: its calls go nowhere.
	killed bool
	// stalls tells that the process stands still between two steps at times, and atStep is called when it does, with its reason.
	stalls bool
	atStep func(trouble string)
	// loss is the share of writes that go unanswered; of these a third is lost, a third executed late and a third executed.
	loss float64
	// refusals is the share of calls that are refused.
	refusals float64
	// cutAppends and cutReads tell which topics don't answer, and cutGroups that the groups don't answer.
	cutAppends, cutReads map[ledger.Topic]bool
	cutGroups            bool
	// membersDelay delays reads of a group's members.
	membersDelay time.Duration
	// cutWorkers tells which workers the node doesn't reach.
	cutWorkers map[model.WorkerID]bool
}

func newSimConnection(store *simStore, seed int64) *simConnection {
	return &simConnection{
		store: store, draws: simDraws{seed}, trace: &simTrace{begun: time.Now()}, drawn: make(map[string]int),
		cutAppends: make(map[ledger.Topic]bool), cutReads: make(map[ledger.Topic]bool), cutWorkers: make(map[model.WorkerID]bool),
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
		c.loss, c.refusals, c.cutGroups, c.stalls = 0, 0, false, false
		clear(c.cutAppends)
		clear(c.cutReads)
		clear(c.cutWorkers)
	})
}

// next returns the generator of the next draw for a name.
func (c *simConnection) next(name string) *rand.Rand {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drawn[name]++
	return c.draws.rand(name, c.drawn[name])
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

// thawFor does the same, and takes a moment of its own if the process stood still.
func (c *simConnection) thawFor(ctx context.Context, name string) {
	begun := time.Now()
	if c.thaw(ctx); time.Now().After(begun) {
		pause.For(ctx, time.Duration(1+c.next("thaw for "+name).Int63n(int64(simMaxStep))))
	}
}

// step takes a moment of its own, so that the seed decides in which order the goroutines of a node go on, and longer while the
// process stands still.
func (c *simConnection) step(name string) {
	r := c.next("step " + name)
	time.Sleep(time.Duration(1 + r.Int63n(int64(simMaxStep))))
	c.mu.Lock()
	share := 0.0
	if c.stalls {
		// Steps that are taken once stand still more often than those that are taken again and again.
		share = max(simStallShare, simFirstStallShare/float64(c.drawn["step "+name]))
	}
	c.mu.Unlock()
	if r.Float64() < share {
		length := time.Duration(float64(simMinStall) * math.Pow(float64(simMaxStall)/float64(simMinStall), r.Float64()))
		c.trace.add("stands still for %v before %s", length, name)
		c.freeze(length)
		if c.atStep != nil {
			c.atStep("stall")
		}
	}
	for {
		c.mu.Lock()
		left := time.Until(c.frozenUntil)
		c.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left + time.Duration(1+r.Int63n(int64(simMaxStep))))
	}
}

// fate is what happens to a call: its ways to the other side and back, whether it is executed, how late, and whether it is
// answered.
type fate struct {
	way, back                   time.Duration
	refused, executed, answered bool
	late                        time.Duration
}

// draw draws the fate of a call; a cut one gets lost.
func (c *simConnection) draw(name string, write, cut bool) fate {
	r := c.next(name)
	c.mu.Lock()
	defer c.mu.Unlock()
	f := fate{way: simWay(r), back: simWay(r), executed: true, answered: true}
	switch {
	case cut || c.killed:
		f.executed, f.answered = false, false
	case r.Float64() < c.refusals:
		f.refused = true
	case write && r.Float64() < c.loss:
		f.answered = false
		switch r.Intn(3) {
		case 0:
			f.executed = false
		case 1:
			f.late = simDuration(r, time.Second, 6*time.Second)
		}
	}
	return f
}

// simWay draws how long a call is on its way.
func simWay(r *rand.Rand) time.Duration { return simDuration(r, time.Millisecond, 20*time.Millisecond) }

// simDuration draws a duration to the nanosecond, so that hardly ever two calls arrive at the same moment.
func simDuration(r *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(r.Int63n(int64(to-from)))
}

// deliver sends a call on its way and waits for its answer. The call goes on if the caller gives up, and has no answer if its
// execution says so.
func deliver[T any](ctx context.Context, f fate, timeout time.Duration, execute func() (T, error)) (T, error) {
	type answer struct {
		value T
		err   error
	}
	var none T
	if ctx.Err() != nil {
		return none, ledger.ErrNoAnswer
	}
	answers := make(chan answer, 1)
	if f.executed || f.refused {
		time.AfterFunc(f.way+f.late, func() {
			a := answer{err: ledger.ErrRefused}
			if !f.refused {
				a.value, a.err = execute()
			}
			if f.answered && !errors.Is(a.err, ledger.ErrNoAnswer) {
				time.AfterFunc(f.back, func() { answers <- a })
			}
		})
	}
	timer := time.NewTimer(timeout + f.way)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case a := <-answers:
		return a.value, a.err
	}
	return none, ledger.ErrNoAnswer
}

// simCall calls the store; the process may stand still before and after it.
func simCall[T any](ctx context.Context, c *simConnection, name string, write, cut bool, execute func() (T, error)) (T, error) {
	if caller, ok := ctx.Value(simCaller{}).(string); ok {
		name = caller + " " + name
	}
	c.thawFor(ctx, name)
	if ctx.Err() != nil {
		var none T
		return none, ledger.ErrNoAnswer
	}
	value, err := deliver(ctx, c.draw(name, write, cut), simCallTimeout, execute)
	c.trace.add("%s: %v", name, err)
	c.thawFor(ctx, name)
	return value, err
}

// simCaller is the key of the caller's name in a context. Callers that may make the same call at the same moment have one.
type simCaller struct{}

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
	name := fmt.Sprintf("append of %d to %s", b.Epoch, b.Topic)
	_, err := simCall(ctx, c, name, true, c.cutTopic(b.Topic, false), func() (struct{}, error) {
		return struct{}{}, c.store.append(b)
	})
	return err
}

// simPage is a page of newest records and the end of their topic.
type simPage struct {
	records []ledger.Record
	end     int64
}

func (c *simConnection) Newest(ctx context.Context, topic ledger.Topic, _ int) (ledger.Page, error) {
	var page ledger.Page
	for after, first := "", true; ; first = false {
		part, err := simCall(ctx, c, "newest of "+string(topic), false, c.cutTopic(topic, true), func() (simPage, error) {
			records, end := c.store.page(topic, after)
			return simPage{records, end}, nil
		})
		if err != nil {
			return ledger.Page{}, err
		}
		if first {
			page.Next = part.end
		}
		page.Records = append(page.Records, part.records...)
		if len(part.records) < simPageKeys {
			return page, nil
		}
		after = part.records[len(part.records)-1].Key
	}
}

func (c *simConnection) Read(
	ctx context.Context, topic ledger.Topic, _ int, from int64, wait time.Duration,
) (ledger.Page, error) {
	for begun := time.Now(); ; pause.For(ctx, 20*time.Millisecond) {
		page, err := simCall(ctx, c, "read of "+string(topic), false, c.cutTopic(topic, true), func() (ledger.Page, error) {
			page, kept := c.store.read(topic, from)
			if !kept {
				return ledger.Page{}, ledger.ErrTrimmed
			}
			return page, nil
		})
		if err != nil || ctx.Err() != nil || len(page.Records) > 0 || time.Since(begun) >= wait {
			return page, err
		}
	}
}

func (c *simConnection) Join(ctx context.Context, m ledger.Membership) (ledger.Assignment, error) {
	return simCall(ctx, c, "join of "+m.Group, true, c.groupsCut(), func() (ledger.Assignment, error) {
		return c.store.join(m), nil
	})
}

func (c *simConnection) Leave(ctx context.Context, m ledger.Membership) error {
	_, err := simCall(ctx, c, "leave of "+m.Group, true, c.groupsCut(), func() (struct{}, error) {
		c.store.leave(m)
		return struct{}{}, nil
	})
	return err
}

func (c *simConnection) Holders(ctx context.Context, group string) ([]ledger.Holder, error) {
	c.mu.Lock()
	delay := c.membersDelay
	c.mu.Unlock()
	pause.For(ctx, delay)
	return simCall(ctx, c, "holders of "+group, false, c.groupsCut(), func() ([]ledger.Holder, error) {
		return c.store.holders(group), nil
	})
}
