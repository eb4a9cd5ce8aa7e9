package once

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// peerCallTimeout bounds a settlement or a handoff call to another member.
const peerCallTimeout = time.Second

// Claim is the exclusive right to run the request with one ID.
type Claim struct {
	service  *Service
	id       string
	claimant string
}

// Settle reports the end of the request to the owner of its ID: whether it ran, and whether the client received the
// whole answer. If the owner cannot be reached, the ID stays claimed: retries then get ErrRunning or
// ErrUnknownOutcome and do not run.
func (c *Claim) Settle(ctx context.Context, ran, answered bool) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), peerCallTimeout)
	defer cancel()
	req := SettleRequest{ID: c.id, Claimant: c.claimant, Ran: ran, Answered: answered}
	owner, _, err := c.service.owner(c.id)
	if err != nil {
		return
	}
	if owner == c.service.cfg.Self {
		c.service.Finish(req)
		return
	}
	if err := c.service.cfg.Peers.Settle(ctx, owner, req); err != nil {
		c.service.cfg.Log.Warn("request ID was not settled", zap.String("request-id", c.id),
			zap.String("owner", string(owner.Instance)), zap.Error(err))
	}
}
