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

// Classes of the workload.
const (
	Quote      = model.ClassID("quote")
	RingCheck  = model.ClassID("ring-check")
	Planning   = model.ClassID("planning")
	Simulation = model.ClassID("simulation")
	Scoring    = model.ClassID("scoring")
)

// Classes lists the classes in the order in which they are reported.
var Classes = []model.ClassID{Quote, RingCheck, Planning, Simulation, Scoring}

const (
	// MaxErrorFactor is the largest factor between declared and actual sizes and run times, in either direction.
	MaxErrorFactor = 4.0
	// taskVariation is the largest relative deviation of a task's error factors from those of its profile.
	taskVariation    = 0.15
	profilesPerClass = 3
	// ArrivalPeriod is the time during which jobs arrive.
	ArrivalPeriod = 210 * time.Minute
	// PlanningDeadline is the deadline of planning jobs, counted from the start.
	PlanningDeadline = ArrivalPeriod
	// planningArrivalPeriod is the time during which planning jobs arrive.
	planningArrivalPeriod = time.Hour
)

// Start is the time at which the workload begins; planning jobs are due at 01:30 of that night.
var Start = time.Date(2026, 12, 4, 22, 0, 0, 0, time.UTC)

// maxTaskUsage limits the actual usage of a task, so that it fits on a worker.
var maxTaskUsage = model.Resources{Cores: 32_000, Memory: 128 << 10}

// Job is a job together with the actual usage of each of its tasks.
type Job struct {
	Spec model.JobSpec
	// Arrival is the time of submission, counted from the start.
	Arrival time.Duration
	Tasks   []ActualUsage
}

// ActualUsage is what a task really uses, and how long it runs with that.
type ActualUsage struct {
	Peak    model.Resources
	RunTime time.Duration
}

// CoreSeconds returns the processor time that the task needs, in core-seconds.
func (u ActualUsage) CoreSeconds() float64 { return float64(u.Peak.Cores) / 1000 * u.RunTime.Seconds() }

// jobTemplate describes the jobs of a class; declared values are drawn between the two bounds. loadFraction is the work
// of the class as a fraction of the load.
type jobTemplate struct {
	class         model.ClassID
	kind          model.JobKind
	tasks         [2]int
	cores         [2]int
	runTime       [2]time.Duration
	gibPerCore    [2]int
	loadFraction  float64
	arrivalPeriod time.Duration
}

var jobTemplates = []jobTemplate{
	{class: Quote, kind: model.KindBatch, tasks: [2]int{1, 1}, cores: [2]int{2, 6}, runTime: [2]time.Duration{2 * time.Second, 8 * time.Second}, gibPerCore: [2]int{1, 3}, loadFraction: 0.006, arrivalPeriod: ArrivalPeriod},
	{class: RingCheck, kind: model.KindBatch, tasks: [2]int{2, 6}, cores: [2]int{2, 6}, runTime: [2]time.Duration{20 * time.Second, time.Minute}, gibPerCore: [2]int{1, 4}, loadFraction: 0.03, arrivalPeriod: ArrivalPeriod},
	{class: Planning, kind: model.KindBatch, tasks: [2]int{8, 40}, cores: [2]int{4, 12}, runTime: [2]time.Duration{4 * time.Minute, 16 * time.Minute}, gibPerCore: [2]int{2, 5}, loadFraction: 0.42, arrivalPeriod: planningArrivalPeriod},
	{class: Simulation, kind: model.KindGang, tasks: [2]int{4, 8}, cores: [2]int{4, 8}, runTime: [2]time.Duration{5 * time.Minute, 15 * time.Minute}, gibPerCore: [2]int{2, 5}, loadFraction: 0.20, arrivalPeriod: ArrivalPeriod},
	{class: Scoring, kind: model.KindBatch, tasks: [2]int{10, 40}, cores: [2]int{1, 4}, runTime: [2]time.Duration{2 * time.Minute, 8 * time.Minute}, gibPerCore: [2]int{1, 5}, loadFraction: 0.30, arrivalPeriod: ArrivalPeriod},
}

// teamShares holds the shares of the two teams of each organisation; a few teams are large.
var teamShares = map[model.OrganisationID][2]float64{
	"harbour": {8, 4}, "orchard": {6, 3}, "foundry": {2, 1}, "library": {1, 1}, "market": {1, 1}, "workshop": {1, 1},
}

// Mix is a seeded workload with its declarations.
type Mix struct {
	Jobs []Job
	Set  decl.Set
	// CoreSeconds is the processor time that all tasks need, in core-seconds.
	CoreSeconds float64
}

// New generates a workload whose actual processor time is about load times what the cores provide in ArrivalPeriod.
func New(seed uint64, centres []model.DataCentreID, cores int, load float64) Mix {
	rng := rand.New(rand.NewPCG(seed, 1))
	m := Mix{Set: newDeclarations(centres)}
	errorFactors := make(map[string][3]float64)
	for _, t := range jobTemplates {
		wantedWork := t.loadFraction * load * float64(cores) * ArrivalPeriod.Seconds()
		for n, drawnWork := 0, 0.0; drawnWork < wantedWork; n++ {
			job := t.draw(rng, m.Set.Teams, errorFactors, n)
			for _, usage := range job.Tasks {
				drawnWork += usage.CoreSeconds()
			}
			m.Jobs = append(m.Jobs, job)
		}
	}
	for _, job := range m.Jobs {
		for _, usage := range job.Tasks {
			m.CoreSeconds += usage.CoreSeconds()
		}
	}
	slices.SortStableFunc(m.Jobs, func(a, b Job) int { return cmp.Compare(a.Arrival, b.Arrival) })
	return m
}

func newDeclarations(centres []model.DataCentreID) decl.Set {
	set := decl.Set{Classes: []decl.Class{
		{Name: Quote, Target: decl.Target{AnsweredWithin: model.Duration(2 * time.Second)}},
		{Name: RingCheck, Target: decl.Target{StartedWithin: model.Duration(4 * time.Second)}},
		{Name: Planning, Target: decl.Target{DoneBy: &decl.DoneBy{Time: Start.Add(PlanningDeadline).Format("15:04"), Zone: "UTC"}}},
		{Name: Simulation},
		{Name: Scoring},
	}}
	names := make([]model.OrganisationID, 0, len(teamShares))
	for name := range teamShares {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		set.Organisations = append(set.Organisations, decl.Organisation{Name: name, ApprovalKey: model.HashKey(string(name))})
		for i, share := range teamShares[name] {
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

// draw generates job n of the template. The error factors of processors, memory and run time are drawn once per profile of
// a team and apply to all jobs of that profile.
func (t jobTemplate) draw(rng *rand.Rand, teams []decl.Team, errorFactors map[string][3]float64, n int) Job {
	team := drawTeam(rng, teams)
	profile := fmt.Sprintf("%s-%d", t.class, rng.IntN(profilesPerClass))
	key := string(team) + "/" + profile
	if _, ok := errorFactors[key]; !ok {
		errorFactors[key] = [3]float64{drawErrorFactor(rng), drawErrorFactor(rng), drawErrorFactor(rng)}
	}
	cores := drawInt(rng, t.cores)
	spec := model.JobSpec{
		ID: model.JobID(fmt.Sprintf("%s-%06d", t.class, n)), Team: team, Class: t.class, Kind: t.kind, Tasks: drawInt(rng, t.tasks),
		Size: model.Resources{
			Cores: model.MilliCores(1000 * cores), Memory: model.Mebibytes(1024 * cores * drawInt(rng, t.gibPerCore)),
		},
		RunTime: model.Duration(t.runTime[0] + time.Duration(rng.Int64N(int64(t.runTime[1]-t.runTime[0])))),
		Rerun:   true, Profile: profile,
	}
	job := Job{Spec: spec, Arrival: time.Duration(rng.Int64N(int64(t.arrivalPeriod)))}
	for range spec.Tasks {
		job.Tasks = append(job.Tasks, drawUsage(rng, spec, errorFactors[key]))
	}
	return job
}

func drawUsage(rng *rand.Rand, spec model.JobSpec, errorFactors [3]float64) ActualUsage {
	errorFactor := func(i int) float64 {
		return min(MaxErrorFactor, max(1/MaxErrorFactor, errorFactors[i]*(1+taskVariation*(2*rng.Float64()-1))))
	}
	return ActualUsage{
		Peak: model.Resources{
			Cores:  min(maxTaskUsage.Cores, model.MilliCores(float64(spec.Size.Cores)*errorFactor(0))),
			Memory: min(maxTaskUsage.Memory, model.Mebibytes(float64(spec.Size.Memory)*errorFactor(1))),
		},
		RunTime: time.Duration(float64(spec.RunTime) * errorFactor(2)),
	}
}

// drawErrorFactor returns a factor that is log-uniform between 1/MaxErrorFactor and MaxErrorFactor.
func drawErrorFactor(rng *rand.Rand) float64 { return math.Pow(MaxErrorFactor, 2*rng.Float64()-1) }

func drawInt(rng *rand.Rand, bounds [2]int) int { return bounds[0] + rng.IntN(bounds[1]-bounds[0]+1) }

// drawTeam selects a team at random, weighted by the square root of its share: larger teams submit more jobs, but fewer
// than in proportion.
func drawTeam(rng *rand.Rand, teams []decl.Team) model.TeamID {
	total := 0.0
	for _, t := range teams {
		total += math.Sqrt(t.Share)
	}
	remaining := rng.Float64() * total
	for _, t := range teams {
		if remaining -= math.Sqrt(t.Share); remaining < 0 {
			return t.Name
		}
	}
	return teams[len(teams)-1].Name
}
