package cmds

import (
	"errors"
	"fmt"
	"strings"

	"arbutuswing.example/ctl/internal/client"
	"arbutuswing.example/ctl/internal/exits"
	"arbutuswing.example/ctl/internal/files"
	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/opapi"
)

type diffCommand struct {
	*env
	Args struct {
		Old string `positional-arg-name:"OLD" required:"yes" description:"file or directory of declarations, or NEW if it is the only one"`
		New string `positional-arg-name:"NEW" description:"file or directory of declarations"`
	} `positional-args:"yes"`
}

// Execute shows a difference.
func (c *diffCommand) Execute([]string) error {
	if c.Args.New == "" {
		_, old, next, err := c.loadForChange(c.Args.Old)
		if err != nil {
			return err
		}
		c.printDiff(old.Declarations, next)
		return nil
	}
	old, err := files.ReadSet(c.Args.Old)
	if err != nil {
		return err
	}
	next, err := files.ReadSet(c.Args.New)
	if err != nil {
		return err
	}
	old = old.Inherit(decl.Set{})
	c.printDiff(old, next.Inherit(old))
	return nil
}

// loadForChange reads the declarations at path and fills in from those in force what the files leave open.
func (e *env) loadForChange(path string) (*client.Client, opapi.Declarations, decl.Set, error) {
	next, err := files.ReadSet(path)
	if err != nil {
		return nil, opapi.Declarations{}, decl.Set{}, err
	}
	server, err := e.newClient(false)
	if err != nil {
		return nil, opapi.Declarations{}, decl.Set{}, err
	}
	inForce, err := server.Declarations(e.ctx)
	return server, inForce, next.Inherit(inForce.Declarations), err
}

func (e *env) printDiff(old, next decl.Set) {
	text := decl.RenderDiff(old, next)
	if text == "" {
		text = "no difference\n"
	}
	e.printf("%s", text)
}

type planCommand struct {
	*env
	Out  string `long:"out" value-name:"FILE" description:"save the plan for apply --plan"`
	Args struct {
		Path string `positional-arg-name:"PATH" description:"file or directory of declarations"`
	} `positional-args:"yes" required:"yes"`
}

// Execute shows, and saves if asked to, what apply would do.
func (c *planCommand) Execute([]string) error {
	_, inForce, next, err := c.loadForChange(c.Args.Path)
	if err != nil {
		return err
	}
	c.printDiff(inForce.Declarations, next)
	c.printf("based on offset %d\n", inForce.Offset)
	if approvers := decl.Approvers(inForce.Declarations, next); len(approvers) > 0 {
		c.printf("needs the approval of %s\n", joinNames(approvers))
	}
	if c.Out == "" {
		return nil
	}
	return files.WritePlan(c.Out, files.Plan{Base: inForce.Offset, Patch: decl.Diff(inForce.Declarations, next)})
}

type authorship struct {
	Author string `long:"author" value-name:"NAME" description:"who makes the change (default: the user)"`
	Reason string `long:"reason" value-name:"TEXT" description:"why the change is made"`
}

func (a authorship) request(base model.Offset, patch decl.Patch) opapi.ChangeRequest {
	return opapi.ChangeRequest{ID: newChangeID(), Base: base, Author: authorOrUser(a.Author), Reason: a.Reason, Patch: patch}
}

type applyCommand struct {
	*env
	authorship
	Plan string        `long:"plan" value-name:"FILE" description:"carry out a plan saved by plan --out"`
	Base *model.Offset `long:"base" value-name:"OFFSET" description:"refuse unless this offset is in force"`
	Args struct {
		Path string `positional-arg-name:"PATH" description:"file or directory of declarations"`
	} `positional-args:"yes"`
}

// Execute puts declarations in force.
func (c *applyCommand) Execute([]string) error {
	if (c.Plan == "") == (c.Args.Path == "") {
		return fmt.Errorf("%w: name either a path or --plan", exits.ErrUsage)
	}
	if c.Plan != "" {
		return c.applyPlan()
	}
	server, inForce, next, err := c.loadForChange(c.Args.Path)
	if err != nil {
		return err
	}
	if c.Base != nil && *c.Base != inForce.Offset {
		return fmt.Errorf("%w: offset %d is in force, not %d", exits.ErrConflict, inForce.Offset, *c.Base)
	}
	c.printDiff(inForce.Declarations, next)
	return c.send(server, c.request(inForce.Offset, decl.Diff(inForce.Declarations, next)))
}

func (c *applyCommand) applyPlan() error {
	plan, err := files.ReadPlan(c.Plan)
	if err != nil {
		return err
	}
	server, err := c.newClient(false)
	if err != nil {
		return err
	}
	return c.send(server, c.request(plan.Base, plan.Patch))
}

// send sends a change and tells what became of it.
func (e *env) send(server *client.Client, request opapi.ChangeRequest) error {
	answer, err := server.Change(e.ctx, request)
	if err != nil {
		return err
	}
	switch answer.Outcome {
	case opapi.Unchanged:
		e.printf("already in force at offset %d\n", answer.Offset)
	case opapi.Waiting:
		if answer.PartInForce {
			e.printf("keys and data centres are in force at offset %d\n", answer.Offset)
		}
		e.printf("proposal %s waits for the approval of %s\n", answer.ID, joinNames(answer.Waiting))
		return exits.ErrWaiting
	default:
		e.printf("in force at offset %d\n", answer.Offset)
	}
	return nil
}

// maxTries bounds how often a change that doesn't depend on others is sent again after a conflict.
const maxTries = 8

// sendWithRetry sends a change to a single key or data centre. It is sent again on top of changes that come first, because
// withdrawing a key must not fail for an unrelated change.
func (e *env) sendWithRetry(by authorship, make func(decl.Set) (decl.Patch, error)) error {
	server, err := e.newClient(false)
	if err != nil {
		return err
	}
	for try := 1; ; try++ {
		inForce, err := server.Declarations(e.ctx)
		if err != nil {
			return err
		}
		patch, err := make(inForce.Declarations)
		if err != nil {
			return err
		}
		err = e.send(server, by.request(inForce.Offset, patch))
		if !errors.Is(err, exits.ErrConflict) || try == maxTries {
			return err
		}
	}
}

func joinNames[T ~string](names []T) string {
	texts := make([]string, len(names))
	for i, name := range names {
		texts[i] = string(name)
	}
	return strings.Join(texts, ", ")
}
