package cmds

import (
	"fmt"

	"arbutuswing.example/ctl/internal/exits"
	"arbutuswing.example/ctl/internal/files"
	"arbutuswing.example/ctl/internal/pages"
	"arbutuswing.example/internal/config"
	"arbutuswing.example/internal/decl"
)

type checkCommand struct {
	*env
	Entry []string `long:"entry-settings" value-name:"FILE" description:"also check the settings of an aw-entry; may be repeated"`
	Args  struct {
		Paths []string `positional-arg-name:"PATH" description:"file or directory of declarations"`
	} `positional-args:"yes"`
}

// Execute validates files without a server.
func (c *checkCommand) Execute([]string) error {
	if len(c.Args.Paths)+len(c.Entry) == 0 {
		return fmt.Errorf("%w: name declarations or --entry-settings to check", exits.ErrUsage)
	}
	for _, path := range c.Entry {
		if _, err := config.Load[config.Entry](path); err != nil {
			return err
		}
		c.printf("%s: sound\n", path)
	}
	if len(c.Args.Paths) == 0 {
		return nil
	}
	set, err := files.ReadSet(c.Args.Paths...)
	if err != nil {
		return err
	}
	c.printf("sound: %d organisations, %d teams, %d classes, %d data centres\n",
		len(set.Organisations), len(set.Teams), len(set.Classes), len(set.DataCentres))
	return nil
}

type schemaCommand struct {
	*env
	Markdown bool `long:"markdown" description:"print the reference page of all schemas (docs/configuration.md)"`
	Args     struct {
		Name string `positional-arg-name:"NAME" description:"declarations, change, entry or ctl"`
	} `positional-args:"yes"`
}

// Execute prints a schema.
func (c *schemaCommand) Execute([]string) error {
	if c.Markdown {
		page, err := pages.Configuration()
		c.printf("%s", page)
		return err
	}
	text := map[string]func() []byte{
		"": decl.Schema, "declarations": decl.Schema, "change": decl.PatchSchema, "entry": config.Schema,
		"ctl":  config.CtlSchema,
		"node": config.NodeSchema,
	}[c.Args.Name]
	if text == nil {
		return fmt.Errorf("%w: no schema is named %q", exits.ErrUsage, c.Args.Name)
	}
	c.printf("%s", text())
	return nil
}

type versionCommand struct{ *env }

// Execute prints the version.
func (c *versionCommand) Execute([]string) error {
	c.printf("aw-ctl %s\n", Version)
	return nil
}
