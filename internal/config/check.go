package config

import (
	"fmt"
	"net/netip"
	"net/url"
	"reflect"
	"strings"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/strict"
)

// Problem is what is wrong with a setting; only its path and text are set.
type Problem = strict.Problem

// Checker collects the problems of settings.
type Checker struct{ problems []Problem }

// Problems returns the problems found so far.
func (c *Checker) Problems() []Problem { return c.problems }

// Require adds a problem with the setting at path unless holds is true.
func (c *Checker) Require(holds bool, path, format string, args ...any) {
	if !holds {
		c.problems = append(c.problems, Problem{Path: path, Text: fmt.Sprintf(format, args...)})
	}
}

// Address requires IP:port with a port other than 0; listenOnly allows an unspecified IP such as 0.0.0.0.
func (c *Checker) Address(path, address string, listenOnly bool) {
	parsed, err := netip.ParseAddrPort(address)
	switch {
	case address == "":
		c.Require(false, path, "must be set")
	case err != nil:
		c.Require(false, path, "%q must be IP:port; host names are not resolved", address)
	case parsed.Port() == 0:
		c.Require(false, path, "%q must have a port other than 0", address)
	case parsed.Addr().IsUnspecified() && !listenOnly:
		c.Require(false, path, "%q must name one IP address, because others connect to it", address)
	}
}

// URL requires http://IP:port or https://IP:port without a path.
func (c *Checker) URL(path, address string) {
	parsed, err := url.Parse(address)
	if address == "" {
		c.Require(false, path, "must be set")
		return
	}
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") || strings.Trim(parsed.Path, "/") != "" {
		c.Require(false, path, "%q must be a URL such as http://127.0.0.1:7000", address)
		return
	}
	c.Address(path, parsed.Host, false)
}

// Positive requires every duration and number in value, a struct, to be greater than zero.
func (c *Checker) Positive(path string, value any) { c.positive(path, reflect.ValueOf(value)) }

func (c *Checker) positive(path string, v reflect.Value) {
	const text = "must be greater than 0"
	switch {
	case v.Kind() == reflect.Struct:
		for i := range v.NumField() {
			name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
			c.positive(path+"."+name, v.Field(i))
		}
	case v.CanInt():
		c.Require(v.Int() > 0, path, text)
	case v.CanFloat():
		c.Require(v.Float() > 0, path, text)
	}
}

// Name requires a valid name in kebab case.
func (c *Checker) Name(path, name string) {
	c.Require(name != "", path, "must be set")
	c.Require(name == "" || decl.ValidName(name), path, "%q must be kebab case", name)
}

// Level requires a log level.
func (c *Checker) Level(path, level string) {
	switch level {
	case "debug", "info", "warn", "error":
	default:
		c.Require(false, path, "%q must be debug, info, warn or error", level)
	}
}

// longerThan requires the duration at path to be longer than another setting.
func (c *Checker) longerThan(path string, value model.Duration, other string, than model.Duration) {
	c.Require(value > than, path, "%s must be longer than %s (%s)", value, other, than)
}

// Check validates the settings and returns their problems.
func (e Entry) Check() []Problem {
	c := &Checker{}
	c.Name("instance", string(e.Instance))
	c.Name("data-centre", string(e.DataCentre))
	c.Name("region", e.Region)
	c.Address("caller-address", e.CallerAddress, true)
	c.Address("admin-address", e.AdminAddress, false)
	c.Address("peer-address", e.PeerAddress, false)
	c.URL("platform", e.Platform)
	c.Require(decl.ValidKeyHash(e.OperatorKey), "operator-key", "must be a SHA-256 in lower-case hexadecimal (64 digits)")
	c.Level("log-level", e.LogLevel)
	c.Positive("lease", e.Lease)
	c.Positive("stream", e.Stream)
	c.Positive("member", e.Member)
	c.Positive("route", e.Route)
	c.Positive("once", e.Once)
	c.Positive("sched", e.Sched)
	c.Positive("shutdown", e.Shutdown)
	e.checkOrder(c)
	return c.Problems()
}

// checkOrder rejects durations that contradict each other, such as a lease that ends before its renewal.
func (e Entry) checkOrder(c *Checker) {
	c.longerThan("lease.worker", e.Lease.Worker, "lease.renew", e.Lease.Renew)
	c.longerThan("lease.task", e.Lease.Task, "lease.worker", e.Lease.Worker)
	c.longerThan("lease.isolation", e.Lease.Isolation, "lease.task", e.Lease.Task)
	c.longerThan("stream.commit-max", e.Stream.CommitMax, "stream.commit", e.Stream.Commit)
	c.longerThan("stream.retry-max", e.Stream.RetryMax, "stream.retry-first", e.Stream.RetryFirst)
	c.longerThan("member.dead", e.Member.Dead, "member.beat", e.Member.Beat)
	c.longerThan("sched.quarantine-max", e.Sched.QuarantineMax, "sched.quarantine-first", e.Sched.QuarantineFirst)
}
