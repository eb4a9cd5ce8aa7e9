package cmds

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"arbutuswing.example/internal/config"
	"arbutuswing.example/internal/strict"
	"arbutuswing.example/node/internal/daemon"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

type settingsOption struct {
	Settings string `long:"settings" short:"s" required:"true" value-name:"FILE" description:"settings in JSON"`
}

type runCommand struct{ settingsOption }

// Execute runs the node until it is told to stop.
func (c *runCommand) Execute([]string) error { return daemon.Run(c.Settings) }

type checkCommand struct {
	settingsOption
	out io.Writer
}

// Execute checks the settings without running anything.
func (c *checkCommand) Execute([]string) error {
	if _, err := config.Load[config.Node](c.Settings); err != nil {
		return err
	}
	_, err := fmt.Fprintf(c.out, "%s: sound\n", c.Settings)
	return err
}

type schemaCommand struct{ out io.Writer }

// Execute prints the JSON schema of the settings.
func (c *schemaCommand) Execute([]string) error {
	_, err := fmt.Fprintf(c.out, "%s\n", config.NodeSchema())
	return err
}

type versionCommand struct{ out io.Writer }

// Execute prints the version.
func (c *versionCommand) Execute([]string) error {
	_, err := fmt.Fprintf(c.out, "aw-node %s\n", daemon.Version)
	return err
}

// Run carries out the command line and returns the exit code: 0 after a graceful stop, 1 after a failure or for faulty
// settings, 2 for a faulty command line.
func Run(out, errOut io.Writer, args []string) int {
	parser := flags.NewNamedParser("aw-node", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Node of arbutuswing on a platform. SIGTERM stops it gracefully, SIGHUP checks its settings " +
		"again, SIGUSR1 logs its state."
	commands := []struct {
		name, short string
		data        any
	}{
		{"run", "run the node", &runCommand{}},
		{"check", "check the settings", &checkCommand{out: out}},
		{"schema", "print the JSON schema of the settings", &schemaCommand{out}},
		{"version", "print the version", &versionCommand{out}},
	}
	for _, command := range commands {
		if _, err := parser.AddCommand(command.name, command.short, command.short, command.data); err != nil {
			_, _ = fmt.Fprintln(errOut, "aw-node:", err)
			return exitFailure
		}
	}
	_, err := parser.ParseArgs(args)
	var usage *flags.Error
	var faults strict.Faults
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(out, usage.Message)
		return exitOK
	case errors.As(err, &usage):
		_, _ = fmt.Fprintln(errOut, "aw-node:", usage.Message)
		return exitUsage
	case errors.As(err, &faults):
		_, _ = fmt.Fprintln(errOut, err)
		return exitFailure
	default:
		_, _ = fmt.Fprintln(errOut, "aw-node:", err)
		return exitFailure
	}
}
