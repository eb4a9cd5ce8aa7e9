package cmds

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"text/tabwriter"

	"arbutuswing.example/ctl/internal/exits"
	"arbutuswing.example/internal/opapi"
)

type statusCommand struct {
	*env
	JSON bool `long:"json" description:"print the server's answer as JSON"`
}

// Execute prints the state of the system.
func (c *statusCommand) Execute([]string) error {
	server, err := c.newClient(false)
	if err != nil {
		return err
	}
	status, err := server.Status(c.ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return c.printJSON(status)
	}
	return c.table(status)
}

func (e *env) printJSON(value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	e.printf("%s\n", data)
	return err
}

func (c *statusCommand) table(s opapi.Status) error {
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	row := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	row("instance\t%s in %s (version %s), %s", s.Instance, s.DataCentre, s.Version, s.Connectivity)
	row("offsets\tapplied %d, declarations %d", s.Applied, s.Declarations)
	row("proposals\t%d open", s.Proposals)
	row("\nmember\tdata centre\tadmin address")
	for _, member := range s.Members {
		row("%s\t%s\t%s", member.Instance, member.DataCentre, member.AdminAddress)
	}
	row("\ndata centre\tservice\tworkers\tsuspected\tlost\tcores committed")
	for _, d := range s.DataCentres {
		row("%s\t%s\t%d\t%d\t%d\t%s", d.Name, d.Service, d.Workers, d.Suspected, d.Lost,
			formatPercentage(int64(d.Committed.Cores), int64(d.Capacity.Cores)))
	}
	row("\nteam\ttasks\tused share\tdue share")
	for _, team := range s.Teams {
		row("%s\t%d\t%.1f%%\t%.1f%%", team.Name, team.Usage.Tasks, percent*team.UsedShare, percent*team.DueShare)
	}
	for _, name := range slices.Sorted(maps.Keys(s.Violations)) {
		row("\nviolated invariant\t%s\t%d times", name, s.Violations[name])
	}
	return w.Flush()
}

const percent = 100

func formatPercentage(part, whole int64) string {
	if whole == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", percent*float64(part)/float64(whole))
}

type dumpCommand struct {
	*env
	Section string `long:"section" value-name:"NAME" description:"print one section only"`
}

// Execute prints the state dump of an entry instance.
func (c *dumpCommand) Execute([]string) error {
	server, err := c.newClient(false)
	if err != nil {
		return err
	}
	dump, err := server.Dump(c.ctx)
	if err != nil {
		return err
	}
	if c.Section == "" {
		return c.printJSON(dump)
	}
	for _, section := range dump.Sections {
		if section.Name == c.Section {
			return c.printJSON(section.Contents)
		}
	}
	return fmt.Errorf("%w: the dump has no section %q", exits.ErrInput, c.Section)
}
