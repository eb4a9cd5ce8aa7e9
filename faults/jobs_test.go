package faults

import (
	"fmt"
	"net/http"
	"time"

	"gotest.tools/v3/assert"
)

// resources is an amount of processors and memory.
type resources struct {
	Cores  int `json:"milli-cores"`
	Memory int `json:"memory-mib"`
}

// job is the specification of a job.
type job struct {
	ID          string    `json:"id"`
	Team        string    `json:"team"`
	Class       string    `json:"class"`
	Kind        string    `json:"kind"`
	Tasks       int       `json:"tasks"`
	Size        resources `json:"size"`
	RunTime     string    `json:"run-time"`
	Rerun       bool      `json:"rerun"`
	DataCentres []string  `json:"data-centres,omitempty"`
}

// batch returns a batch job of team pricing.
func batch(id string, tasks int, runTime string) job {
	return job{
		ID: id, Team: "pricing", Class: batchClass, Kind: "batch", Tasks: tasks, RunTime: runTime, Rerun: true,
		Size: resources{Cores: taskCores, Memory: 1024},
	}
}

// batches returns batch jobs with numbered IDs.
func batches(prefix string, count, tasks int, runTime string) []job {
	out := make([]job, 0, count)
	for i := range count {
		out = append(out, batch(fmt.Sprintf("%s-%d", prefix, i), tasks, runTime))
	}
	return out
}

// jobStatus is the status of a job in the clients' API.
type jobStatus struct {
	Tasks    int            `json:"tasks"`
	Done     int            `json:"done"`
	Phases   map[string]int `json:"phases"`
	Outcomes map[string]int `json:"outcomes"`
	Unknown  []string       `json:"outcome-unknown"`
}

func (c *cluster) submit(e *entry, j job, key string) answer {
	headers := map[string]string{"Team-Key": key}
	return call(client, http.MethodPost, e.caller+"/v1/jobs", headers, encode(c.t, j))
}

func accepted(a answer) bool { return a.status == http.StatusOK || a.status == http.StatusAccepted }

// submitUntilAccepted submits a job, like a client, to one running instance after the other until one accepts it.
func (c *cluster) submitUntilAccepted(turn int, j job) bool {
	deadline := time.Now().Add(waitLimit)
	for ; time.Now().Before(deadline); turn++ {
		live := c.live()
		if accepted(c.submit(live[turn%len(live)], j, pricingKey)) {
			return true
		}
		time.Sleep(pollInterval)
	}
	return false
}

// submitAll submits all jobs, several in parallel, until each is accepted.
func (c *cluster) submitAll(jobs []job) {
	forEachParallel(len(jobs), 8, func(i int) {
		if !c.submitUntilAccepted(i, jobs[i]) {
			c.t.Errorf("job %s was not accepted within %s", jobs[i].ID, waitLimit)
		}
	})
}

func (c *cluster) job(e *entry, id string) jobStatus {
	var out jobStatus
	fetch(e.caller+"/v1/jobs/"+id, nil, &out)
	return out
}

// awaitDone waits until all jobs have ended, and checks in the stand-in's audit that each task succeeded exactly once.
func (c *cluster) awaitDone(jobs []job) {
	c.t.Helper()
	e := c.live()[0]
	for _, j := range jobs {
		var got jobStatus
		done := eventually(waitLimit, func() bool {
			got = c.job(e, j.ID)
			return got.Tasks == j.Tasks && got.Done == j.Tasks
		})
		if !done {
			c.t.Fatalf("job %s did not end within %s: %+v", j.ID, waitLimit, got)
		}
		assert.Equal(c.t, got.Outcomes["succeeded"], j.Tasks, "job %s: %v", j.ID, got.Outcomes)
	}
	audit := c.audit()
	for _, j := range jobs {
		for i := range j.Tasks {
			task := fmt.Sprintf("%s/%d", j.ID, i)
			assert.Check(c.t, audit.Tasks[task].Completions == 1, "task %s: %+v", task, audit.Tasks[task])
		}
	}
	c.checkAudit()
}
