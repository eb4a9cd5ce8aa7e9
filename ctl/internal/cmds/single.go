package cmds

import (
	"fmt"

	"arbutuswing.example/ctl/internal/exits"
	"arbutuswing.example/ctl/internal/files"
	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
)

type keyCommand struct {
	*env
	authorship
	grant   bool
	Hash    string `long:"hash" value-name:"SHA-256" description:"hash of the key in lower-case hexadecimal"`
	KeyFrom string `long:"team-key-file" value-name:"FILE" description:"file that holds the key; only its hash is sent"`
	Args    struct {
		Team string `positional-arg-name:"TEAM"`
	} `positional-args:"yes" required:"yes"`
}

// Execute grants or withdraws a key.
func (c *keyCommand) Execute([]string) error {
	hash, err := c.key()
	if err != nil {
		return err
	}
	team := model.TeamID(c.Args.Team)
	return c.sendWithRetry(c.authorship, func(set decl.Set) (decl.Patch, error) {
		if _, ok := set.Team(team); !ok {
			return decl.Patch{}, fmt.Errorf("%w: no team %q is declared", exits.ErrInput, team)
		}
		change := []decl.KeyChange{{Team: team, Key: hash}}
		if c.grant {
			return decl.Patch{GrantKeys: change}, nil
		}
		return decl.Patch{WithdrawKeys: change}, nil
	})
}

// key returns the hash of the key in the options.
func (c *keyCommand) key() (model.KeyHash, error) {
	switch {
	case (c.Hash == "") == (c.KeyFrom == ""):
		return "", fmt.Errorf("%w: give either --hash or --team-key-file", exits.ErrUsage)
	case c.KeyFrom != "":
		key, err := files.ReadKey(c.KeyFrom)
		return model.HashKey(key), err
	case !decl.ValidKeyHash(model.KeyHash(c.Hash)):
		return "", fmt.Errorf("%w: --hash must be a SHA-256 in lower-case hexadecimal (64 digits)", exits.ErrUsage)
	}
	return model.KeyHash(c.Hash), nil
}

type serviceCommand struct {
	*env
	authorship
	service decl.ServiceState
	Args    struct {
		Name string `positional-arg-name:"DATA-CENTRE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute changes the state of service of a data centre.
func (c *serviceCommand) Execute([]string) error {
	return c.sendWithRetry(c.authorship, func(set decl.Set) (decl.Patch, error) {
		centre, ok := set.DataCentre(model.DataCentreID(c.Args.Name))
		if !ok {
			return decl.Patch{}, fmt.Errorf("%w: no data centre %q is declared", exits.ErrInput, c.Args.Name)
		}
		return decl.Patch{Put: decl.Set{DataCentres: []decl.DataCentre{centre.WithService(c.service)}}}, nil
	})
}
