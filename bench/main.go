package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"arbutuswing.example/bench/internal/reqs"
	"arbutuswing.example/bench/internal/slopes"
	"arbutuswing.example/bench/internal/trial"
)

// slopesCommand measures costs at several sizes and fits lines to them.
type slopesCommand struct {
	Platform string   `long:"platform" description:"IP:port of a running stand-in with 500 workers, for lease renewals"`
	Only     []string `long:"only" description:"group to measure; may be repeated"`
	JSON     string   `long:"json" description:"file for the results"`
}

// Execute implements flags.Commander.
func (c *slopesCommand) Execute([]string) error {
	return slopes.Run(slopes.Config{Platform: c.Platform, Only: c.Only, JSON: c.JSON})
}

// requestsCommand measures the latency and the processor time that an entry instance adds to a request.
type requestsCommand struct {
	Entry     string        `long:"entry" required:"true" description:"IP:port of an entry instance for callers"`
	Process   int           `long:"process" description:"process ID of the entry instance, for its processor time"`
	Endpoints []string      `long:"endpoint" required:"true" description:"IP:port of an endpoint; may be repeated"`
	Rates     []int         `long:"rate" description:"requests per second; may be repeated (default: 500, 1000, 2000)"`
	Slices    int           `long:"slices" description:"slices sent each way at each rate (default: 5)"`
	Work      time.Duration `long:"work" description:"time that the endpoint works on a request (default: 1ms)"`
	JSON      string        `long:"json" description:"file for the results"`
}

// Execute implements flags.Commander.
func (c *requestsCommand) Execute([]string) error {
	return reqs.Run(reqs.Config{
		Entry: c.Entry, Process: c.Process, Endpoints: c.Endpoints, Rates: c.Rates, Slices: c.Slices, Work: c.Work, JSON: c.JSON,
	})
}

// measureCommand simulates a seeded workload with the scheduling modules.
type measureCommand struct {
	Baseline bool    `long:"baseline" description:"also run plain first-come first-fit on the same mix"`
	Seed     uint64  `long:"seed" default:"1" description:"seed of the mix"`
	Load     float64 `long:"load" description:"work of the night as a part of what the fleet can do (default: 0.75)"`
	JSON     string  `long:"json" description:"file for the results"`
}

// Execute implements flags.Commander.
func (c *measureCommand) Execute([]string) error {
	return trial.Run(trial.Config{Seed: c.Seed, Baseline: c.Baseline, Load: c.Load, JSON: c.JSON})
}

type options struct {
	Slopes   slopesCommand   `command:"slopes" description:"measure costs at several sizes and fit lines to them"`
	Measure  measureCommand  `command:"measure" description:"measure scheduling with a seeded mix of work"`
	Requests requestsCommand `command:"requests" description:"measure the time that an entry instance adds to a request"`
}

func main() {
	var opts options
	_, err := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash).Parse()
	var usage *flags.Error
	switch {
	case err == nil:
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Println(usage.Message)
	default:
		fmt.Fprintln(os.Stderr, "aw-bench:", err)
		os.Exit(1)
	}
}
