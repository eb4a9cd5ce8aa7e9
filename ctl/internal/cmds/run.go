package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"arbutuswing.example/ctl/internal/exits"
)

// Version is the version of aw-ctl.
const Version = "0.1.0"

// Config holds the outputs of the commands.
type Config struct {
	Out io.Writer
	Err io.Writer
}

// Run executes the command line and returns the exit code.
func Run(ctx context.Context, config Config, args []string) int {
	env := &env{ctx: ctx, out: config.Out}
	parser, err := newParser(env)
	if err != nil {
		return reportError(config, fmt.Errorf("building the commands: %w", err))
	}
	if _, err := parser.ParseArgs(args); err != nil {
		return reportError(config, err)
	}
	return exits.OK
}

// reportError prints an error and returns its exit code. Help texts, which the parser returns as errors, go to Out.
func reportError(config Config, err error) int {
	var usage *flags.Error
	switch {
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(config.Out, usage.Message)
		return exits.OK
	case errors.As(err, &usage):
		_, _ = fmt.Fprintln(config.Err, "aw-ctl: "+usage.Message)
		return exits.Usage
	case errors.Is(err, exits.ErrWaiting):
		// The command has already printed what the change waits for.
		return exits.Waiting
	default:
		_, _ = fmt.Fprintln(config.Err, err)
		return exits.Code(err)
	}
}

// command is a command with its help texts, the struct that holds its options and runs it, and its subcommands.
type command struct {
	name, short, long string
	handler           any
	subcommands       []command
}

func newParser(env *env) (*flags.Parser, error) {
	parser := flags.NewNamedParser("aw-ctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "operate arbutuswing"
	parser.LongDescription = "Checks declarations and puts them in force through an entry instance's operator API.\n\n" +
		exits.Help
	if _, err := parser.AddGroup("Options for every command", "", &env.options); err != nil {
		return nil, err
	}
	for _, c := range commands(env) {
		if err := addCommand(parser.Command, c); err != nil {
			return nil, err
		}
	}
	return parser, nil
}

func addCommand(parent *flags.Command, c command) error {
	handler := c.handler
	if handler == nil {
		handler = &struct{}{}
	}
	added, err := parent.AddCommand(c.name, c.short, c.long, handler)
	if err != nil {
		return err
	}
	for _, subcommand := range c.subcommands {
		if err := addCommand(added, subcommand); err != nil {
			return err
		}
	}
	return nil
}
