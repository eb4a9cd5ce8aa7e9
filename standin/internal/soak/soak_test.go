package soak

import (
	"errors"
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/record"
	"arbutuswing.example/internal/state"
	"arbutuswing.example/internal/stream"
	"arbutuswing.example/standin/internal/audit"
	"arbutuswing.example/standin/internal/fault"
	"arbutuswing.example/standin/internal/fleet"
)

var (
	seedFlag   = flag.Uint64("soak.seed", 1, "seed of the soak run")
	lengthFlag = flag.Duration("soak.length", 4*time.Minute, "simulated time under faults")
)

const (
	// settleTime is the longest time that all work may take once the faults are over: the isolation limit does not
	// count, because every data centre is back.
	settleTime = 30 * time.Minute
	settlePoll = 5 * time.Second
)

// TestSoak guards against lost, doubled and misplaced work under combined faults: crashes, pauses, outages, lost
// answers, partitions, reboots, data centres out and back, waves of cancellations.
func TestSoak(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, *seedFlag)
		w.boot()
		w.faultsFor(*lengthFlag)
		w.heal()
		w.settle()
		w.audit()
		w.shutdown()
	})
}

func (w *world) boot() {
	for _, name := range w.names() {
		w.start(name, model.DataCentreID(name[:3]))
	}
	time.Sleep(10 * time.Second)
	w.declare(decl.Patch{Put: decl.Set{
		Organisations: []decl.Organisation{{Name: "north", ApprovalKey: model.HashKey("approve")}},
		Teams: []decl.Team{
			{Name: "a", Organisation: "north", Share: 3},
			{Name: "b", Organisation: "north", Share: 1},
		},
		Classes: []decl.Class{
			{Name: "patient"},
			{Name: "urgent", Target: decl.Target{StartedWithin: model.Duration(4 * time.Second)}},
		},
		DataCentres: []decl.DataCentre{
			{Name: "dc1", Region: "r", Service: decl.InService},
			{Name: "dc2", Region: "r", Service: decl.InService},
			{Name: "dc3", Region: "r", Service: decl.InService},
		},
	}})
}

// faultsFor submits work and brings about one fault after another.
func (w *world) faultsFor(length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); {
		for range 1 + w.random.IntN(4) {
			w.submitJob()
		}
		w.fault()
		time.Sleep(time.Duration(500+w.random.IntN(4000)) * time.Millisecond)
	}
}

func (w *world) submitJob() {
	n := w.anyNode()
	if n == nil {
		return
	}
	w.jobs++
	spec := model.JobSpec{
		ID: model.JobID(fmt.Sprintf("job-%d", w.jobs)), Team: []model.TeamID{"a", "b"}[w.random.IntN(2)],
		Class: []model.ClassID{"patient", "patient", "urgent"}[w.random.IntN(3)], Kind: model.KindBatch,
		Tasks: 1 + w.random.IntN(4), Rerun: w.random.IntN(4) > 0, RunTime: model.Duration(5 * time.Second),
		Size: model.Resources{Cores: model.MilliCores(1000 * (1 + w.random.IntN(4))), Memory: 2048},
	}
	if w.random.IntN(6) == 0 {
		spec.Kind = model.KindGang
	}
	results, err := w.submit(n, record.JobAccepted{Spec: spec, Submitted: time.Now().UnixNano()})
	switch {
	case err == nil && results[0] == nil:
		w.accepted[spec.ID] = spec
	case err != nil && !errors.Is(err, stream.ErrNotRecorded):
		w.unsure[spec.ID] = true
	}
}

// fault brings about one fault of limited length.
func (w *world) fault() {
	name := w.names()[w.random.IntN(len(w.names()))]
	centre := centres[w.random.IntN(len(centres))]
	worker := model.WorkerID(fmt.Sprintf("%s-w%d", centre, w.random.IntN(workersPerCentre)))
	length := model.Duration(time.Duration(1+w.random.IntN(20)) * time.Second)
	set := func(f fault.Fault) {
		f.For = length
		_, err := w.faults.Add(f)
		w.must(err)
	}
	switch w.random.IntN(15) {
	case 0, 1:
		w.replace(name)
	case 2:
		w.pause(name, length.Std())
	case 3:
		set(fault.Fault{Kind: fault.LogOutage})
	case 4:
		set(fault.Fault{Kind: fault.LogSlow, Delay: model.Duration(300 * time.Millisecond)})
	case 5:
		set(fault.Fault{Kind: fault.AppendAnswerLost, Probability: 0.5})
	case 6:
		set(fault.Fault{Kind: fault.WorkerAnswerLost, Probability: 0.3})
	case 7:
		w.fleet.Reboot(func(s fleet.Spec) bool { return s.ID == worker })
	case 8:
		set(fault.Fault{Kind: fault.WorkerUnreachable, Worker: worker})
	case 9:
		set(fault.Fault{Kind: fault.Partition, DataCentre: centre})
		w.isolate(centre, length.Std())
	case 10:
		set(fault.Fault{Kind: fault.Partition, DataCentre: centre, Peer: fault.PeerPlatform})
	case 11:
		w.takeOut(centre)
	case 12:
		w.cancelWave()
	case 13:
		set(fault.Fault{Kind: fault.WorkerSlow, Worker: worker, Delay: model.Duration(2 * time.Second)})
	case 14:
		set(fault.Fault{Kind: fault.ListLag, Delay: model.Duration(30 * time.Second)})
	}
}

// replace crashes an instance and starts it anew a moment later, with nothing kept.
func (w *world) replace(name string) {
	if n := w.find(name); n != nil {
		n.crash(w)
	}
	time.Sleep(time.Duration(w.random.IntN(3000)) * time.Millisecond)
	if w.find(name) == nil {
		w.start(name, model.DataCentreID(name[:3]))
	}
}

func (w *world) pause(name string, length time.Duration) {
	n := w.find(name)
	if n == nil {
		return
	}
	n.paused.Store(true)
	time.AfterFunc(length, func() { n.paused.Store(false) })
}

func (w *world) isolate(centre model.DataCentreID, length time.Duration) {
	for _, other := range centres {
		if other != centre {
			w.cut(centre, other, true)
			time.AfterFunc(length, func() { w.cut(centre, other, false) })
		}
	}
}

// takeOut takes a data centre out of service and puts it back.
func (w *world) takeOut(centre model.DataCentreID) {
	put := func(service decl.ServiceState) {
		w.declare(decl.Patch{Put: decl.Set{
			DataCentres: []decl.DataCentre{{Name: centre, Region: "r", Service: service}},
		}})
	}
	put(decl.OutOfService)
	id, err := w.faults.Add(fault.Fault{Kind: fault.DataCentreOut, DataCentre: centre})
	w.must(err)
	time.Sleep(time.Duration(5+w.random.IntN(15)) * time.Second)
	// The audit stops counting first, since starts are right again as soon as the change is in force.
	w.must(w.faults.Clear(id))
	put(decl.InService)
}

func (w *world) cancelWave() {
	n := w.anyNode()
	if n == nil {
		return
	}
	var ops []record.Op
	for _, job := range n.machine.Jobs(state.JobFilter{Team: "b", Unfinished: true}) {
		ops = append(ops, record.JobCancelled{Job: job.Spec.ID})
	}
	if len(ops) > 0 {
		// Cancelling may fail in an outage; the jobs then run to their end.
		_, _ = w.submit(n, ops...)
	}
}

// heal ends all faults and starts what is missing.
func (w *world) heal() {
	w.must(w.faults.Clear(0))
	time.Sleep(20 * time.Second) // pauses and partitions end by themselves
	for _, name := range w.names() {
		if w.find(name) == nil {
			w.start(name, model.DataCentreID(name[:3]))
		}
	}
}

// settle waits until every job is finished everywhere.
func (w *world) settle() {
	for end := time.Now().Add(settleTime); time.Now().Before(end); time.Sleep(settlePoll) {
		if n := w.anyNode(); n != nil && len(n.machine.Jobs(state.JobFilter{Unfinished: true})) == 0 {
			return
		}
	}
	n := w.anyNode()
	if n == nil {
		w.t.Fatal("no node is ready after the faults are over")
	}
	for _, job := range n.machine.Jobs(state.JobFilter{Unfinished: true}) {
		w.t.Errorf("job %s is not finished: %+v", job.Spec.ID, job.Tasks)
	}
}

// audit compares what the nodes say with what the workers counted.
func (w *world) audit() {
	report := w.fleet.Audit()
	for violation, count := range report.Violations {
		if count > 0 {
			w.t.Errorf("%s: %d, for example %v", violation, count, report.Examples)
		}
	}
	if report.Doubled > 0 {
		w.t.Errorf("%d tasks were completed twice", report.Doubled)
	}
	n := w.anyNode()
	succeeded := 0
	for id, spec := range w.accepted {
		job, known := n.machine.Job(id)
		if !known {
			w.t.Errorf("accepted job %s is lost", id)
			continue
		}
		for _, task := range job.Tasks {
			if task.Outcome == model.OutcomeSucceeded {
				succeeded++
			}
			w.auditTask(report, spec, task)
		}
	}
	w.t.Logf("seed %d: %d jobs submitted, %d accepted, %d unsure, %d starts, %d tasks succeeded", *seedFlag, w.jobs,
		len(w.accepted), len(w.unsure), report.Starts, succeeded)
	if succeeded == 0 {
		w.t.Error("no task succeeded, so the run shows nothing")
	}
}

func (w *world) auditTask(report audit.Report, spec model.JobSpec, task state.Task) {
	counts := report.Tasks[task.ID]
	if task.Outcome == model.OutcomeSucceeded && counts.Completions == 0 {
		w.t.Errorf("%s counts as succeeded but no worker completed it", task.ID)
	}
	if !spec.Rerun && counts.AfterLost > 0 {
		w.t.Errorf("%s may not be rerun but was started after a lost attempt", task.ID)
	}
}

func (w *world) shutdown() {
	for _, name := range w.names() {
		if n := w.find(name); n != nil {
			n.crash(w)
		}
	}
}
