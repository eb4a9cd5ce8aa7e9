package mixes

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
)

// Classes of the mix.
const (
	Quote      = model.ClassID("quote")
	RingCheck  = model.ClassID("ring-check")
	Planning   = model.ClassID("planning")
	Simulation = model.ClassID("simulation")
	Scoring    = model.ClassID("scoring")
)

// Classes lists the classes in the order of reports.
var Classes = []model.ClassID{Quote, RingCheck, Planning, Simulation, Scoring}

const (
	// MaxFactor is how far declared sizes and run times are off, up or down.
	MaxFactor = 4.0
	// noise is how much attempts of one profile differ from each other.
	noise    = 0.15
	profiles = 3
	// Night is how long work arrives.
	Night = 210 * time.Minute
	// DoneBy is when planning has to be done, counted from the start.
	DoneBy = Night
	// planningArrives is how long planning work is submitted.
	planningArrives = time.Hour
)

// Start is when the mix begins; planning is due at 01:30 of that night.
var Start = time.Date(2026, 12, 4, 22, 0, 0, 0, time.UTC)

// Most that one task really uses, so that it fits into a worker.
var most = model.Resources{Cores: 32_000, Memory: 128 << 10}

// Job is a job with what its tasks really need.
type Job struct {
	Spec model.JobSpec
	// Arrives is counted from the start.
	Arrives time.Duration
	Tasks   []Need
}

// Need is what one task really uses, and how long it runs with that.
type Need struct {
	Peak    model.Resources
	RunTime time.Duration
}

// Work returns the core-seconds that the task really needs.
func (n Need) Work() float64 { return float64(n.Peak.Cores) / 1000 * n.RunTime.Seconds() }

// kind describes the jobs of a class; declared values are drawn between the bounds.
type kind struct {
	class   model.ClassID
	kind    model.JobKind
	tasks   [2]int
	cores   [2]int
	runTime [2]time.Duration
	gibPer  [2]int
	load    float64
	arrives time.Duration
}

var kinds = []kind{
	{class: Quote, kind: model.KindBatch, tasks: [2]int{1, 1}, cores: [2]int{2, 6}, runTime: [2]time.Duration{2 * time.Second, 8 * time.Second}, gibPer: [2]int{1, 3}, load: 0.006, arrives: Night},
	{class: RingCheck, kind: model.KindBatch, tasks: [2]int{2, 6}, cores: [2]int{2, 6}, runTime: [2]time.Duration{20 * time.Second, time.Minute}, gibPer: [2]int{1, 4}, load: 0.03, arrives: Night},
	{class: Planning, kind: model.KindBatch, tasks: [2]int{8, 40}, cores: [2]int{4, 12}, runTime: [2]time.Duration{4 * time.Minute, 16 * time.Minute}, gibPer: [2]int{2, 5}, load: 0.42, arrives: planningArrives},
	{class: Simulation, kind: model.KindGang, tasks: [2]int{4, 8}, cores: [2]int{4, 8}, runTime: [2]time.Duration{5 * time.Minute, 15 * time.Minute}, gibPer: [2]int{2, 5}, load: 0.20, arrives: Night},
	{class: Scoring, kind: model.KindBatch, tasks: [2]int{10, 40}, cores: [2]int{1, 4}, runTime: [2]time.Duration{2 * time.Minute, 8 * time.Minute}, gibPer: [2]int{1, 5}, load: 0.30, arrives: Night},
}

// Organisations and the shares of their two teams each: a few are large.
var shares = map[model.OrganisationID][2]float64{
	"harbour": {8, 4}, "orchard": {6, 3}, "foundry": {2, 1}, "library": {1, 1}, "market": {1, 1}, "workshop": {1, 1},
}

// Mix is a seeded mix of work.
type Mix struct {
	Jobs []Job
	Set  decl.Set
	// Work is the core-seconds that all tasks really need.
	Work float64
}

// New draws the mix that really needs the given part of the cores during the night.
func New(seed uint64, centres []model.DataCentreID, cores int, load float64) Mix {
	rng := rand.New(rand.NewPCG(seed, 1))
	m := Mix{Set: declare(centres)}
	factors := make(map[string][3]float64)
	for _, k := range kinds {
		want := k.load * load * float64(cores) * Night.Seconds()
		for n, got := 0, 0.0; got < want; n++ {
			job := k.draw(rng, m.Set.Teams, factors, n)
			for _, need := range job.Tasks {
				got += need.Work()
			}
			m.Jobs = append(m.Jobs, job)
		}
	}
	for _, job := range m.Jobs {
		for _, need := range job.Tasks {
			m.Work += need.Work()
		}
	}
	slices.SortStableFunc(m.Jobs, func(a, b Job) int { return cmp.Compare(a.Arrives, b.Arrives) })
	return m
}

func declare(centres []model.DataCentreID) decl.Set {
	set := decl.Set{Classes: []decl.Class{
		{Name: Quote, Target: decl.Target{AnsweredWithin: model.Duration(2 * time.Second)}},
		{Name: RingCheck, Target: decl.Target{StartedWithin: model.Duration(4 * time.Second)}},
		{Name: Planning, Target: decl.Target{DoneBy: &decl.DoneBy{Time: Start.Add(DoneBy).Format("15:04"), Zone: "UTC"}}},
		{Name: Simulation},
		{Name: Scoring},
	}}
	names := make([]model.OrganisationID, 0, len(shares))
	for name := range shares {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		set.Organisations = append(set.Organisations, decl.Organisation{Name: name, ApprovalKey: model.HashKey(string(name))})
		for i, share := range shares[name] {
			team := model.TeamID(fmt.Sprintf("%s-%d", name, i+1))
			set.Teams = append(set.Teams, decl.Team{
				Name: team, Organisation: name, Share: share, Keys: []model.KeyHash{model.HashKey(string(team))},
			})
		}
	}
	for _, dc := range centres {
		set.DataCentres = append(set.DataCentres, decl.DataCentre{Name: dc, Region: "west", Service: decl.InService})
	}
	return set
}

// draw makes job n of the kind. How far a profile's declarations are off is drawn once for each profile.
func (k kind) draw(rng *rand.Rand, teams []decl.Team, factors map[string][3]float64, n int) Job {
	team := pick(rng, teams)
	profile := fmt.Sprintf("%s-%d", k.class, rng.IntN(profiles))
	key := string(team) + "/" + profile
	if _, ok := factors[key]; !ok {
		factors[key] = [3]float64{factor(rng), factor(rng), factor(rng)}
	}
	cores := between(rng, k.cores)
	spec := model.JobSpec{
		ID: model.JobID(fmt.Sprintf("%s-%06d", k.class, n)), Team: team, Class: k.class, Kind: k.kind, Tasks: between(rng, k.tasks),
		Size: model.Resources{
			Cores: model.MilliCores(1000 * cores), Memory: model.Mebibytes(1024 * cores * between(rng, k.gibPer)),
		},
		RunTime: model.Duration(k.runTime[0] + time.Duration(rng.Int64N(int64(k.runTime[1]-k.runTime[0])))),
		Rerun:   true, Profile: profile,
	}
	job := Job{Spec: spec, Arrives: time.Duration(rng.Int64N(int64(k.arrives)))}
	for range spec.Tasks {
		job.Tasks = append(job.Tasks, need(rng, spec, factors[key]))
	}
	return job
}

func need(rng *rand.Rand, spec model.JobSpec, factors [3]float64) Need {
	vary := func(i int) float64 {
		return min(MaxFactor, max(1/MaxFactor, factors[i]*(1+noise*(2*rng.Float64()-1))))
	}
	return Need{
		Peak: model.Resources{
			Cores:  min(most.Cores, model.MilliCores(float64(spec.Size.Cores)*vary(0))),
			Memory: min(most.Memory, model.Mebibytes(float64(spec.Size.Memory)*vary(1))),
		},
		RunTime: time.Duration(float64(spec.RunTime) * vary(2)),
	}
}

// factor is log-uniform between 1/MaxFactor and MaxFactor.
func factor(rng *rand.Rand) float64 { return math.Pow(MaxFactor, 2*rng.Float64()-1) }

func between(rng *rand.Rand, bounds [2]int) int { return bounds[0] + rng.IntN(bounds[1]-bounds[0]+1) }

// pick draws a team; larger teams submit more, though not in proportion to their shares.
func pick(rng *rand.Rand, teams []decl.Team) model.TeamID {
	total := 0.0
	for _, t := range teams {
		total += math.Sqrt(t.Share)
	}
	at := rng.Float64() * total
	for _, t := range teams {
		if at -= math.Sqrt(t.Share); at < 0 {
			return t.Name
		}
	}
	return teams[len(teams)-1].Name
}
