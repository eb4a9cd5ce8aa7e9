package state

import (
	"cmp"
	"container/list"
	"slices"
	"sync"

	"arbutuswing.example/internal/model"
)

const (
	// maxSamples is the number of latest succeeded attempts that an estimate is based on.
	maxSamples = 32
	// maxProfilesPerShard bounds the profiles kept in memory, because submitters choose the profile names.
	maxProfilesPerShard = 512
	// highPercentile is the fraction of the samples that an estimate of a size or of RunTimeHigh covers.
	highPercentile = 0.95
)

// Estimate is the resource usage and run time expected of a task, from succeeded attempts of the same team, class and
// profile.
type Estimate struct {
	// Size is the 95th percentile of each resource.
	Size model.Resources `json:"size"`
	// RunTime is the median run time, and RunTimeHigh the 95th percentile.
	RunTime     model.Duration `json:"run-time"`
	RunTimeHigh model.Duration `json:"run-time-high"`
	// Count is the number of attempts that the estimate is based on.
	Count int `json:"count"`
}

// profiles holds the latest usage samples by team, class and profile.
type profiles struct {
	shards [shardCount]profileShard
}

// profileShard orders its profiles by their latest sample, so that every instance evicts the same ones.
type profileShard struct {
	mu    sync.RWMutex
	rows  map[profileKey]*list.Element
	order *list.List
}

type profileKey struct {
	Team    model.TeamID  `json:"team"`
	Class   model.ClassID `json:"class"`
	Profile string        `json:"profile"`
}

type profileUsage struct {
	Key profileKey `json:"key"`
	// Samples holds the latest samples, oldest first.
	Samples []model.Usage `json:"samples"`

	estimate Estimate
}

func newProfiles() *profiles {
	p := &profiles{}
	for i := range p.shards {
		p.shards[i].rows = make(map[profileKey]*list.Element)
		p.shards[i].order = list.New()
	}
	return p
}

func profileKeyOf(spec model.JobSpec) profileKey {
	profile := spec.Profile
	if profile == "" {
		profile = string(spec.Class)
	}
	return profileKey{Team: spec.Team, Class: spec.Class, Profile: profile}
}

func (p *profiles) shard(key profileKey) *profileShard {
	return &p.shards[hashKey(string(key.Team)+"\x00"+string(key.Class)+"\x00"+key.Profile)%shardCount]
}

// addSample adds the usage of a succeeded attempt.
func (p *profiles) addSample(spec model.JobSpec, usage model.Usage) {
	key := profileKeyOf(spec)
	shard := p.shard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	row := shard.latestRow(key)
	if len(row.Samples) == maxSamples {
		row.Samples = slices.Delete(row.Samples, 0, 1)
	}
	row.Samples = append(row.Samples, usage)
	row.estimate = estimate(row.Samples)
}

// latestRow returns the row of key and makes it the most recently used one. It creates a missing row, and evicts the
// least recently used one if the shard is full.
func (s *profileShard) latestRow(key profileKey) *profileUsage {
	if element, ok := s.rows[key]; ok {
		s.order.MoveToBack(element)
		return rowOf(element)
	}
	if s.order.Len() >= maxProfilesPerShard {
		oldest := s.order.Front()
		delete(s.rows, rowOf(oldest).Key)
		s.order.Remove(oldest)
	}
	row := &profileUsage{Key: key}
	s.rows[key] = s.order.PushBack(row)
	return row
}

func rowOf(element *list.Element) *profileUsage {
	row, _ := element.Value.(*profileUsage)
	return row
}

// estimate returns the estimate for the specification; ok is false if no attempt of its profile has succeeded.
func (p *profiles) estimate(spec model.JobSpec) (Estimate, bool) {
	key := profileKeyOf(spec)
	shard := p.shard(key)
	shard.mu.RLock()
	defer shard.mu.RUnlock()
	element, ok := shard.rows[key]
	if !ok {
		return Estimate{}, false
	}
	return rowOf(element).estimate, true
}

// list copies all rows, shard by shard, least recently used first.
func (p *profiles) list() []profileUsage {
	var out []profileUsage
	for i := range p.shards {
		for element := p.shards[i].order.Front(); element != nil; element = element.Next() {
			row := rowOf(element)
			out = append(out, profileUsage{Key: row.Key, Samples: slices.Clone(row.Samples)})
		}
	}
	return out
}

// restore adds rows in the order that list returned them in.
func (p *profiles) restore(rows []profileUsage) {
	for _, saved := range rows {
		row := p.shard(saved.Key).latestRow(saved.Key)
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
func percentile[T cmp.Ordered](samples []model.Usage, fraction float64, field func(model.Usage) T) T {
	values := make([]T, 0, maxSamples)
	for _, sample := range samples {
		values = append(values, field(sample))
	}
	slices.Sort(values)
	rank := int(fraction * float64(len(values)))
	if float64(rank) < fraction*float64(len(values)) {
		rank++
	}
	return values[max(rank, 1)-1]
}
