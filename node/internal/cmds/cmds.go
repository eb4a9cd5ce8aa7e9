package cmds

import (
	"fmt"
	"io"

	"arbutuswing.example/internal/config"
	"arbutuswing.example/internal/shell"
	"arbutuswing.example/node/internal/daemon"
)

type settingsOption struct {
	Settings string `long:"settings" short:"s" required:"true" value-name:"FILE" description:"settings in JSON"`
}

type runCommand struct{ settingsOption }

// Execute runs the node until a signal stops it.
func (c *runCommand) Execute([]string) error { return daemon.Run(c.Settings) }

type checkCommand struct {
	settingsOption
	out io.Writer
}

// Execute checks the settings without running the node.
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

// Run executes the command line and returns the exit code: 0 on success or after a graceful stop, 1 after a failure or for
// invalid settings, 2 for an invalid command line.
func Run(out, errOut io.Writer, args []string) int {
	return shell.Run(shell.Config{
		Name: "aw-node", Description: "Node of arbutuswing on a platform. SIGTERM stops it gracefully, SIGHUP checks its settings " +
			"again, SIGUSR1 logs its state.",
		Out: out, ErrOut: errOut,
		Commands: []shell.Command{
			{Name: "run", Short: "run the node", Data: &runCommand{}},
			{Name: "check", Short: "check the settings", Data: &checkCommand{out: out}},
			{Name: "schema", Short: "print the JSON schema of the settings", Data: &schemaCommand{out}},
			{Name: "version", Short: "print the version", Data: &versionCommand{out}},
		},
	}, args)
}
