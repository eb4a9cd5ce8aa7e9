package once

import (
	"context"
	"time"

	"go.uber.org/zap"
)

const settleTimeout = time.Second

// Claim is the right to run one request.
type Claim struct {
	service  *Service
	id       string
	claimant string
}

// Settle tells the owner how the request ended. When the owner can't be told, the ID stays claimed, so a retry is
// answered "unknown" rather than run.
func (c *Claim) Settle(ctx context.Context, ran, answered bool) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
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
