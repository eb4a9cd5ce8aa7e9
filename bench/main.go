package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"arbutuswing.example/bench/internal/slopes"
)

// slopesCommand measures costs at several sizes.
type slopesCommand struct {
	Platform string   `long:"platform" description:"IP:port of a running stand-in with 500 workers, for lease renewals"`
	Only     []string `long:"only" description:"group to measure; may be repeated"`
	JSON     string   `long:"json" description:"file for the results"`
}

// Execute implements flags.Commander.
func (c *slopesCommand) Execute([]string) error {
	return slopes.Run(slopes.Config{Platform: c.Platform, Only: c.Only, JSON: c.JSON})
}

type options struct {
	Slopes slopesCommand `command:"slopes" description:"measure costs at several sizes and fit lines to them"`
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
