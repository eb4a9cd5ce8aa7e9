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

// Execute prints the difference between two sets of declarations.
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

// loadForChange reads the declarations at path and those in force. Values that the files leave out are filled in from the
// declarations in force.
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

// Execute prints what apply would do and optionally saves it as a plan.
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

// authorship holds the options that describe a change.
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

// Execute puts declarations or a saved plan in force.
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

// send submits a change and prints its outcome. It returns exits.ErrWaiting if the change waits for approval.
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

// maxAttempts bounds how often a change to a single key or data centre is submitted if it conflicts with other changes.
const maxAttempts = 8

// sendWithRetry submits a change to a single key or data centre. After a conflict, it makes the patch anew from the
// declarations then in force and submits it again, so that an unrelated change can't prevent the withdrawal of a key.
func (e *env) sendWithRetry(by authorship, makePatch func(decl.Set) (decl.Patch, error)) error {
	server, err := e.newClient(false)
	if err != nil {
		return err
	}
	for attempt := 1; ; attempt++ {
		inForce, err := server.Declarations(e.ctx)
		if err != nil {
			return err
		}
		patch, err := makePatch(inForce.Declarations)
		if err != nil {
			return err
		}
		err = e.send(server, by.request(inForce.Offset, patch))
		if !errors.Is(err, exits.ErrConflict) || attempt == maxAttempts {
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
