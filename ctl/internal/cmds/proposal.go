package cmds

import (
	"fmt"
	"strings"

	"arbutuswing.example/ctl/internal/exits"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/opapi"
)

type proposalsCommand struct {
	*env
	Organisation bool `long:"as-organisation" description:"--key-file holds an organisation's approval key"`
}

// Execute prints the open proposals.
func (c *proposalsCommand) Execute([]string) error {
	server, err := c.newClient(c.Organisation)
	if err != nil {
		return err
	}
	proposals, err := server.Proposals(c.ctx)
	if err != nil {
		return err
	}
	if len(proposals) == 0 {
		c.printf("no open proposals\n")
	}
	for _, proposal := range proposals {
		c.printf("%s by %s at offset %d\n", proposal.Change.ID, proposal.Change.Author, proposal.Recorded)
		if proposal.Change.Reason != "" {
			c.printf("  reason: %s\n", proposal.Change.Reason)
		}
		c.printf("  waits for: %s\n", joinNames(proposal.Waiting))
		if len(proposal.Approved) > 0 {
			c.printf("  approved by: %s\n", joinNames(proposal.Approved))
		}
		for line := range strings.Lines(proposal.Effect) {
			c.printf("  %s\n", strings.TrimRight(line, "\n"))
		}
	}
	return nil
}

type verdictCommand struct {
	*env
	approve      bool
	Organisation string `long:"organisation" value-name:"NAME" required:"yes" description:"the organisation that decides"`
	Args         struct {
		Proposal string `positional-arg-name:"PROPOSAL"`
	} `positional-args:"yes" required:"yes"`
}

// Execute sends an organisation's approval or veto of a proposal.
func (c *verdictCommand) Execute([]string) error {
	server, err := c.newClient(true)
	if err != nil {
		return err
	}
	answer, err := server.Verdict(c.ctx, c.Args.Proposal, opapi.VerdictRequest{
		Organisation: model.OrganisationID(c.Organisation), Approve: c.approve,
	})
	if err != nil {
		return err
	}
	if answer.Outcome == opapi.Waiting {
		c.printf("approved; waits for %s\n", joinNames(answer.Waiting))
		return fmt.Errorf("%w: %s", exits.ErrWaiting, joinNames(answer.Waiting))
	}
	c.printf("%s\n", answer.Outcome)
	return nil
}
