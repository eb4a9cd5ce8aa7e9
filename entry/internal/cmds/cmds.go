package cmds

import (
	"fmt"
	"io"

	"arbutuswing.example/entry/internal/daemon"
	"arbutuswing.example/internal/config"
	"arbutuswing.example/internal/shell"
)

type settingsOption struct {
	Settings string `long:"settings" short:"s" required:"true" value-name:"FILE" description:"settings in JSON"`
}

type runCommand struct{ settingsOption }

// Execute runs the entry instance until a signal stops it.
func (c *runCommand) Execute([]string) error {
	settings, err := config.Load[config.Entry](c.Settings)
	if err != nil {
		return err
	}
	return daemon.Run(settings)
}

type checkCommand struct {
	settingsOption
	out io.Writer
}

// Execute validates the settings file.
func (c *checkCommand) Execute([]string) error {
	if _, err := config.Load[config.Entry](c.Settings); err != nil {
		return err
	}
	_, err := fmt.Fprintf(c.out, "%s: sound\n", c.Settings)
	return err
}

type schemaCommand struct{ out io.Writer }

// Execute prints the JSON schema of the settings.
func (c *schemaCommand) Execute([]string) error {
	_, err := fmt.Fprintf(c.out, "%s\n", config.Schema())
	return err
}

type versionCommand struct{ out io.Writer }

// Execute prints the version.
func (c *versionCommand) Execute([]string) error {
	_, err := fmt.Fprintf(c.out, "aw-entry %s\n", daemon.Version)
	return err
}

// Run executes the command line and returns the exit code: 0 after a graceful stop, 1 after a failure or for invalid
// settings, 2 for an invalid command line.
func Run(out, errOut io.Writer, args []string) int {
	return shell.Run(shell.Config{
		Name: "aw-entry", Description: "Entry instance of arbutuswing. SIGTERM stops it gracefully, SIGUSR1 logs its state.",
		Out: out, ErrOut: errOut,
		Commands: []shell.Command{
			{Name: "run", Short: "run the entry instance", Data: &runCommand{}},
			{Name: "check", Short: "check the settings", Data: &checkCommand{out: out}},
			{Name: "schema", Short: "print the JSON schema of the settings", Data: &schemaCommand{out}},
			{Name: "version", Short: "print the version", Data: &versionCommand{out}},
		},
	}, args)
}
