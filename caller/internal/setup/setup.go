package setup

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"time"

	"arbutuswing.example/internal/config"
	"arbutuswing.example/internal/model"
)

// Settings are the load tool's settings.
type Settings struct {
	// Entries are the callers' addresses of entry instances, IP:port.
	Entries []string `json:"entries"`
	// Platform is IP:port of the platform's stand-in, for its audit; empty leaves it out.
	Platform string `json:"platform,omitempty"`
	// Endpoints are IP:port of the endpoints' stand-ins, for their audits.
	Endpoints []string `json:"endpoints,omitempty"`
	LogLevel  string   `json:"log-level,omitempty"`
	Seed      int64    `json:"seed,omitempty"`
	// Keys is the path of a JSON file that maps teams to their keys.
	Keys string `json:"keys,omitempty"`
	// Deadline bounds the whole run.
	Deadline model.Duration `json:"deadline,omitempty"`
	Requests Requests       `json:"requests,omitzero"`
	Jobs     Jobs           `json:"jobs,omitzero"`
}

// Requests describes the requests to send.
type Requests struct {
	Count int `json:"count,omitempty"`
	// Concurrency is how many requests wait for an answer at the same time.
	Concurrency int `json:"concurrency,omitempty"`
	// PerSecond limits how many requests begin in a second; zero is unlimited.
	PerSecond float64 `json:"per-second,omitempty"`
	// Issued is the part of the non-idempotent requests whose IDs an entry instance issues; the others get own IDs.
	Issued float64 `json:"issued,omitempty"`
	// Timeout bounds one try; Tries bounds their number.
	Timeout model.Duration `json:"timeout,omitempty"`
	Tries   int            `json:"tries,omitempty"`
	Mix     []Mix          `json:"mix,omitempty"`
}

// Mix describes the requests of one class and team.
type Mix struct {
	Class  model.ClassID `json:"class"`
	Team   model.TeamID  `json:"team,omitempty"`
	Weight float64       `json:"weight"`
	// Idempotent is the part of the requests that may run more than once.
	Idempotent float64 `json:"idempotent,omitempty"`
	// WorkMin and WorkMax bound how long an endpoint works on a request.
	WorkMin model.Duration `json:"work-min,omitempty"`
	WorkMax model.Duration `json:"work-max,omitempty"`
	// BodyMax and AnswerMax bound sizes in bytes; an answer of size zero is the body itself.
	BodyMax   int `json:"body-max,omitempty"`
	AnswerMax int `json:"answer-max,omitempty"`
}

// Jobs describes the jobs to submit.
type Jobs struct {
	// File is the path of the example file; empty submits none.
	File string `json:"file,omitempty"`
	// Prefix precedes the IDs of the file's jobs.
	Prefix string `json:"prefix,omitempty"`
	// Concurrency is how many calls wait for an answer at the same time.
	Concurrency int            `json:"concurrency,omitempty"`
	Poll        model.Duration `json:"poll,omitempty"`
	Timeout     model.Duration `json:"timeout,omitempty"`
}

// WithDefaults returns settings for a run of at most two minutes.
func (s Settings) WithDefaults() Settings {
	s.LogLevel = "info"
	s.Seed = 1
	s.Deadline = model.Duration(2 * time.Minute)
	s.Requests = Requests{Concurrency: 16, Issued: 0.5, Timeout: model.Duration(3 * time.Second), Tries: 5}
	s.Jobs = Jobs{Concurrency: 8, Poll: model.Duration(500 * time.Millisecond), Timeout: model.Duration(6 * time.Second)}
	return s
}

// Check returns the faults of the settings.
func (s Settings) Check() []config.Problem {
	c := &config.Checker{}
	c.Require(len(s.Entries) > 0, "entries", "must not be empty")
	checkAddresses(c, "entries", s.Entries)
	checkAddresses(c, "endpoints", s.Endpoints)
	if s.Platform != "" {
		c.Address("platform", s.Platform, false)
	}
	c.Level("log-level", s.LogLevel)
	c.Require(s.Deadline > 0, "deadline", "must be greater than 0")
	c.Require(s.Jobs.Concurrency > 0, "jobs.concurrency", "must be greater than 0")
	c.Require(s.Jobs.Poll > 0, "jobs.poll", "must be greater than 0")
	c.Require(s.Jobs.Timeout > 0, "jobs.timeout", "must be greater than 0")
	s.Requests.check(c)
	return c.Problems()
}

func checkAddresses(c *config.Checker, path string, addresses []string) {
	for i, address := range addresses {
		c.Address(path+"["+strconv.Itoa(i)+"]", address, false)
	}
}

func (r Requests) check(c *config.Checker) {
	c.Require(r.Count >= 0, "requests.count", "must not be negative")
	c.Require(r.Count == 0 || len(r.Mix) > 0, "requests.mix", "must not be empty")
	c.Require(r.Concurrency > 0, "requests.concurrency", "must be greater than 0")
	c.Require(r.PerSecond >= 0, "requests.per-second", "must not be negative")
	c.Require(r.Issued >= 0 && r.Issued <= 1, "requests.issued", "must be from 0 to 1")
	c.Require(r.Timeout > 0, "requests.timeout", "must be greater than 0")
	c.Require(r.Tries > 0, "requests.tries", "must be greater than 0")
	for i, mix := range r.Mix {
		path := "requests.mix[" + strconv.Itoa(i) + "]"
		c.Require(mix.Class != "", path+".class", "must be set")
		c.Require(mix.Weight > 0, path+".weight", "must be greater than 0")
		c.Require(mix.Idempotent >= 0 && mix.Idempotent <= 1, path+".idempotent", "must be from 0 to 1")
		c.Require(mix.WorkMin >= 0 && mix.WorkMax >= mix.WorkMin, path+".work-max", "must not be below work-min")
		c.Require(mix.BodyMax >= 0 && mix.AnswerMax >= 0, path, "sizes must not be negative")
	}
}

// LoadKeys reads the teams' keys; an empty path gives none.
func LoadKeys(path string) (map[model.TeamID]string, error) {
	keys := make(map[model.TeamID]string)
	if path == "" {
		return keys, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading keys: %w", err)
	}
	if err := json.Unmarshal(data, &keys); err != nil {
		return nil, fmt.Errorf("reading keys from %s: %w", path, err)
	}
	return keys, nil
}
