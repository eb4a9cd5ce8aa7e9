package state

import (
	"cmp"
	"container/list"
	"slices"
	"sync"

	"arbutuswing.example/internal/model"
)

const (
	// keptSamples is the number of succeeded attempts that an estimate rests on.
	keptSamples = 32
	// learnedPerShard bounds the profiles kept, since submitters choose their names.
	learnedPerShard = 512
	// highPercentile is the part of the attempts that an estimate of a size covers.
	highPercentile = 0.95
)

// Estimate is what succeeded attempts of alike jobs used.
type Estimate struct {
	// Size is the 95th percentile of each resource.
	Size model.Resources `json:"size"`
	// RunTime is the median, and RunTimeHigh the 95th percentile.
	RunTime     model.Duration `json:"run-time"`
	RunTimeHigh model.Duration `json:"run-time-high"`
	// Count is the number of attempts that the estimate rests on.
	Count int `json:"count"`
}

// learned is the aggregate of learned sizes and run times, by team, class and profile.
type learned struct {
	shards [shardCount]learnedShard
}

// learnedShard keeps its profiles in the order of their last sample, so that the fold evicts the same ones everywhere.
type learnedShard struct {
	mu    sync.RWMutex
	rows  map[learnedKey]*list.Element
	order *list.List
}

type learnedKey struct {
	Team    model.TeamID  `json:"team"`
	Class   model.ClassID `json:"class"`
	Profile string        `json:"profile"`
}

type learnedRow struct {
	Key learnedKey `json:"key"`
	// Samples holds the latest usages, oldest first.
	Samples []model.Usage `json:"samples"`

	estimate Estimate
}

func newLearned() *learned {
	l := &learned{}
	for i := range l.shards {
		l.shards[i].rows = make(map[learnedKey]*list.Element)
		l.shards[i].order = list.New()
	}
	return l
}

func learnedKeyOf(spec model.JobSpec) learnedKey {
	profile := spec.Profile
	if profile == "" {
		profile = string(spec.Class)
	}
	return learnedKey{Team: spec.Team, Class: spec.Class, Profile: profile}
}

func (l *learned) shard(key learnedKey) *learnedShard {
	return &l.shards[hashKey(string(key.Team)+"\x00"+string(key.Class)+"\x00"+key.Profile)%shardCount]
}

// learn adds the usage of a succeeded attempt.
func (l *learned) learn(spec model.JobSpec, usage model.Usage) {
	key := learnedKeyOf(spec)
	shard := l.shard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	row := shard.row(key)
	if len(row.Samples) == keptSamples {
		row.Samples = slices.Delete(row.Samples, 0, 1)
	}
	row.Samples = append(row.Samples, usage)
	row.estimate = estimate(row.Samples)
}

// row returns the row of key as the latest one; the oldest gives way when the shard is full.
func (s *learnedShard) row(key learnedKey) *learnedRow {
	if element, ok := s.rows[key]; ok {
		s.order.MoveToBack(element)
		return rowOf(element)
	}
	if s.order.Len() >= learnedPerShard {
		oldest := s.order.Front()
		delete(s.rows, rowOf(oldest).Key)
		s.order.Remove(oldest)
	}
	row := &learnedRow{Key: key}
	s.rows[key] = s.order.PushBack(row)
	return row
}

func rowOf(element *list.Element) *learnedRow {
	row, _ := element.Value.(*learnedRow)
	return row
}

// estimate returns the estimate for the specification, if any attempt of its profile succeeded.
func (l *learned) estimate(spec model.JobSpec) (Estimate, bool) {
	key := learnedKeyOf(spec)
	shard := l.shard(key)
	shard.mu.RLock()
	defer shard.mu.RUnlock()
	element, ok := shard.rows[key]
	if !ok {
		return Estimate{}, false
	}
	return rowOf(element).estimate, true
}

// list copies all rows, shard by shard in the order of their last samples.
func (l *learned) list() []learnedRow {
	var out []learnedRow
	for i := range l.shards {
		for element := l.shards[i].order.Front(); element != nil; element = element.Next() {
			row := rowOf(element)
			out = append(out, learnedRow{Key: row.Key, Samples: slices.Clone(row.Samples)})
		}
	}
	return out
}

// restore adds rows in the order of list.
func (l *learned) restore(rows []learnedRow) {
	for _, saved := range rows {
		row := l.shard(saved.Key).row(saved.Key)
		row.Samples = saved.Samples
		row.estimate = estimate(row.Samples)
	}
}

func estimate(samples []model.Usage) Estimate {
	return Estimate{
		Size: model.Resources{
			Cores:        percentile(samples, highPercentile, func(u model.Usage) model.MilliCores { return u.Peak.Cores }),
			Memory:       percentile(samples, highPercentile, func(u model.Usage) model.Mebibytes { return u.Peak.Memory }),
			Accelerators: percentile(samples, highPercentile, func(u model.Usage) int64 { return u.Peak.Accelerators }),
		},
		RunTime:     percentile(samples, 0.5, func(u model.Usage) model.Duration { return u.RunTime }),
		RunTimeHigh: percentile(samples, highPercentile, func(u model.Usage) model.Duration { return u.RunTime }),
		Count:       len(samples),
	}
}

// percentile returns the nearest-rank percentile of one field of the samples.
func percentile[T cmp.Ordered](samples []model.Usage, part float64, field func(model.Usage) T) T {
	values := make([]T, 0, keptSamples)
	for _, sample := range samples {
		values = append(values, field(sample))
	}
	slices.Sort(values)
	rank := int(part * float64(len(values)))
	if float64(rank) < part*float64(len(values)) {
		rank++
	}
	return values[max(rank, 1)-1]
}
