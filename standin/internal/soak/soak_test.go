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
	// completionTimeout is the longest time for all jobs to finish once the faults are over. The isolation limit adds
	// nothing to it, because every data centre is reachable again.
	completionTimeout = 30 * time.Minute
	completionPoll    = 5 * time.Second
)

// TestSoak guards against lost, duplicated and misplaced tasks under combined faults: crashes, pauses, outages, lost
// answers, partitions, reboots, data centres that go out of service and return, and mass cancellations.
func TestSoak(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, *seedFlag)
		c.startNodes()
		c.injectFaultsFor(*lengthFlag)
		c.clearFaults()
		c.waitForCompletion()
		c.checkAudit()
		c.shutdown()
	})
}

func (c *cluster) startNodes() {
	for _, name := range c.nodeNames() {
		c.start(name, model.DataCentreID(name[:3]))
	}
	time.Sleep(10 * time.Second)
	c.declare(decl.Patch{Put: decl.Set{
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

// injectFaultsFor submits jobs and injects one fault after another.
func (c *cluster) injectFaultsFor(length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); {
		for range 1 + c.random.IntN(4) {
			c.submitJob()
		}
		c.injectFault()
		time.Sleep(time.Duration(500+c.random.IntN(4000)) * time.Millisecond)
	}
}

func (c *cluster) submitJob() {
	n := c.readyNode()
	if n == nil {
		return
	}
	c.jobs++
	spec := model.JobSpec{
		ID: model.JobID(fmt.Sprintf("job-%d", c.jobs)), Team: []model.TeamID{"a", "b"}[c.random.IntN(2)],
		Class: []model.ClassID{"patient", "patient", "urgent"}[c.random.IntN(3)], Kind: model.KindBatch,
		Tasks: 1 + c.random.IntN(4), Rerun: c.random.IntN(4) > 0, RunTime: model.Duration(5 * time.Second),
		Size: model.Resources{Cores: model.MilliCores(1000 * (1 + c.random.IntN(4))), Memory: 2048},
	}
	if c.random.IntN(6) == 0 {
		spec.Kind = model.KindGang
	}
	results, err := c.submit(n, record.JobAccepted{Spec: spec, Submitted: time.Now().UnixNano()})
	switch {
	case err == nil && results[0] == nil:
		c.accepted[spec.ID] = spec
	case err != nil && !errors.Is(err, stream.ErrNotRecorded):
		c.unknownOutcome[spec.ID] = true
	}
}

// injectFault injects one random fault of limited duration.
func (c *cluster) injectFault() {
	name := c.nodeNames()[c.random.IntN(len(c.nodeNames()))]
	dataCentre := dataCentres[c.random.IntN(len(dataCentres))]
	worker := model.WorkerID(fmt.Sprintf("%s-w%d", dataCentre, c.random.IntN(workersPerDataCentre)))
	length := model.Duration(time.Duration(1+c.random.IntN(20)) * time.Second)
	set := func(f fault.Fault) {
		f.For = length
		_, err := c.faults.Add(f)
		c.must(err)
	}
	switch c.random.IntN(15) {
	case 0, 1:
		c.restartNode(name)
	case 2:
		c.pause(name, length.Std())
	case 3:
		set(fault.Fault{Kind: fault.LogOutage})
	case 4:
		set(fault.Fault{Kind: fault.LogSlow, Delay: model.Duration(300 * time.Millisecond)})
	case 5:
		set(fault.Fault{Kind: fault.AppendAnswerLost, Probability: 0.5})
	case 6:
		set(fault.Fault{Kind: fault.WorkerAnswerLost, Probability: 0.3})
	case 7:
		c.fleet.Reboot(func(s fleet.Spec) bool { return s.ID == worker })
	case 8:
		set(fault.Fault{Kind: fault.WorkerUnreachable, Worker: worker})
	case 9:
		set(fault.Fault{Kind: fault.Partition, DataCentre: dataCentre})
		c.partitionNodes(dataCentre, length.Std())
	case 10:
		set(fault.Fault{Kind: fault.Partition, DataCentre: dataCentre, Peer: fault.PeerPlatform})
	case 11:
		c.takeOutOfService(dataCentre)
	case 12:
		c.cancelTeamJobs()
	case 13:
		set(fault.Fault{Kind: fault.WorkerSlow, Worker: worker, Delay: model.Duration(2 * time.Second)})
	case 14:
		set(fault.Fault{Kind: fault.ListLag, Delay: model.Duration(30 * time.Second)})
	}
}

// restartNode crashes an instance and starts a new incarnation up to 3 s later, which keeps no state.
func (c *cluster) restartNode(name string) {
	if n := c.nodeByName(name); n != nil {
		n.crash(c)
	}
	time.Sleep(time.Duration(c.random.IntN(3000)) * time.Millisecond)
	if c.nodeByName(name) == nil {
		c.start(name, model.DataCentreID(name[:3]))
	}
}

func (c *cluster) pause(name string, length time.Duration) {
	n := c.nodeByName(name)
	if n == nil {
		return
	}
	n.paused.Store(true)
	time.AfterFunc(length, func() { n.paused.Store(false) })
}

func (c *cluster) partitionNodes(dataCentre model.DataCentreID, length time.Duration) {
	for _, other := range dataCentres {
		if other != dataCentre {
			c.setPartition(dataCentre, other, true)
			time.AfterFunc(length, func() { c.setPartition(dataCentre, other, false) })
		}
	}
}

// takeOutOfService takes a data centre out of service and returns it to service later.
func (c *cluster) takeOutOfService(dataCentre model.DataCentreID) {
	put := func(service decl.ServiceState) {
		c.declare(decl.Patch{Put: decl.Set{
			DataCentres: []decl.DataCentre{{Name: dataCentre, Region: "r", Service: service}},
		}})
	}
	put(decl.OutOfService)
	id, err := c.faults.Add(fault.Fault{Kind: fault.DataCentreOutOfService, DataCentre: dataCentre})
	c.must(err)
	time.Sleep(time.Duration(5+c.random.IntN(15)) * time.Second)
	// The audit must allow starts before the change is made, since they are valid as soon as it is in force.
	c.must(c.faults.Clear(id))
	put(decl.InService)
}

func (c *cluster) cancelTeamJobs() {
	n := c.readyNode()
	if n == nil {
		return
	}
	var ops []record.Op
	for _, job := range n.machine.Jobs(state.JobFilter{Team: "b", Unfinished: true}) {
		ops = append(ops, record.JobCancelled{Job: job.Spec.ID})
	}
	if len(ops) > 0 {
		// The cancellation may fail during an outage; the jobs then run to completion.
		_, _ = c.submit(n, ops...)
	}
}

// clearFaults ends all faults and starts the instances that are down.
func (c *cluster) clearFaults() {
	c.must(c.faults.Clear(0))
	time.Sleep(20 * time.Second) // pauses and partitions between nodes end by themselves within that time
	for _, name := range c.nodeNames() {
		if c.nodeByName(name) == nil {
			c.start(name, model.DataCentreID(name[:3]))
		}
	}
}

// waitForCompletion waits until all jobs are finished in the state of a ready node.
func (c *cluster) waitForCompletion() {
	for end := time.Now().Add(completionTimeout); time.Now().Before(end); time.Sleep(completionPoll) {
		if n := c.readyNode(); n != nil && len(n.machine.Jobs(state.JobFilter{Unfinished: true})) == 0 {
			return
		}
	}
	n := c.readyNode()
	if n == nil {
		c.t.Fatal("no node is ready after all faults were cleared")
	}
	for _, job := range n.machine.Jobs(state.JobFilter{Unfinished: true}) {
		c.t.Errorf("job %s is not finished: %+v", job.Spec.ID, job.Tasks)
	}
}

// checkAudit compares the state of a node with the audit of the workers.
func (c *cluster) checkAudit() {
	report := c.fleet.Audit()
	for violation, count := range report.Violations {
		if count > 0 {
			c.t.Errorf("violation %s: %d times, for example %v", violation, count, report.Examples)
		}
	}
	if report.DuplicateAcknowledgements > 0 {
		c.t.Errorf("success was acknowledged more than once for %d tasks", report.DuplicateAcknowledgements)
	}
	n := c.readyNode()
	succeeded := 0
	for id, spec := range c.accepted {
		job, known := n.machine.Job(id)
		if !known {
			c.t.Errorf("accepted job %s is lost", id)
			continue
		}
		for _, task := range job.Tasks {
			if task.Outcome == model.OutcomeSucceeded {
				succeeded++
			}
			c.checkTask(report, spec, task)
		}
	}
	c.t.Logf("seed %d: %d jobs submitted, %d accepted, %d with unknown outcome, %d starts, %d tasks succeeded", *seedFlag, c.jobs,
		len(c.accepted), len(c.unknownOutcome), report.Starts, succeeded)
	if succeeded == 0 {
		c.t.Error("no task succeeded, so the run tested nothing")
	}
}

func (c *cluster) checkTask(report audit.Report, spec model.JobSpec, task state.Task) {
	counts := report.Tasks[task.ID]
	if task.Outcome == model.OutcomeSucceeded && counts.Completions == 0 {
		c.t.Errorf("%s is recorded as succeeded, but no worker completed it", task.ID)
	}
	if !spec.Rerun && counts.AfterLost > 0 {
		c.t.Errorf("%s may not be rerun, but was started after a lost attempt", task.ID)
	}
}

func (c *cluster) shutdown() {
	for _, name := range c.nodeNames() {
		if n := c.nodeByName(name); n != nil {
			n.crash(c)
		}
	}
}
