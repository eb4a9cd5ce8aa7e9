package shell

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"arbutuswing.example/internal/strict"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// Command is one command of a program. Short is its description in the help text. Data is the struct that holds the
// command's options; go-flags sets them and executes it.
type Command struct {
	Name, Short string
	Data        any
}

// Config describes a program's command line.
type Config struct {
	Name        string
	Description string
	Commands    []Command
	Out, ErrOut io.Writer
}

// Run parses args and executes the command. It returns the exit code: 0 for success, 1 for a failure or invalid settings,
// 2 for a usage error.
func Run(cfg Config, args []string) int {
	parser := flags.NewNamedParser(cfg.Name, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = cfg.Description
	for _, command := range cfg.Commands {
		if _, err := parser.AddCommand(command.Name, command.Short, command.Short, command.Data); err != nil {
			_, _ = fmt.Fprintf(cfg.ErrOut, "%s: %v\n", cfg.Name, err)
			return exitFailure
		}
	}
	_, err := parser.ParseArgs(args)
	return cfg.report(err)
}

// report prints the error and returns the exit code for it. Invalid settings are listed without the program's name.
func (c Config) report(err error) int {
	var usage *flags.Error
	var problems strict.Problems
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(c.Out, usage.Message)
		return exitOK
	case errors.As(err, &usage):
		_, _ = fmt.Fprintf(c.ErrOut, "%s: %s\n", c.Name, usage.Message)
		return exitUsage
	case errors.As(err, &problems):
		_, _ = fmt.Fprintln(c.ErrOut, err)
		return exitFailure
	default:
		_, _ = fmt.Fprintf(c.ErrOut, "%s: %v\n", c.Name, err)
		return exitFailure
	}
}
