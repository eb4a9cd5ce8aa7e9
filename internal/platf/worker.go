package platf

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/valyala/fasthttp"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/ports"
)

// Lease acquires or renews the lease of the worker at address.
func (c *Client) Lease(ctx context.Context, address string, req ports.LeaseRequest) (ports.WorkerReport, error) {
	body, err := c.command(ctx, address, PathLease, req)
	if err != nil {
		return ports.WorkerReport{}, err
	}
	var report ports.WorkerReport
	if err := json.Unmarshal(body, &report); err != nil {
		return ports.WorkerReport{}, fmt.Errorf("%w: invalid report of %s: %w", ports.ErrUnreachable, address, err)
	}
	return report, nil
}

// Release releases the lease of the worker at address.
func (c *Client) Release(ctx context.Context, address string, token model.Token) error {
	_, err := c.command(ctx, address, PathRelease, ReleaseMessage{Token: token})
	return err
}

// Start starts attempts on the worker at address.
func (c *Client) Start(ctx context.Context, address string, token model.Token, starts []ports.StartRequest) error {
	_, err := c.command(ctx, address, PathStart, StartMessage{Token: token, Starts: starts})
	return err
}

// Stop stops attempts on the worker at address; outcome is the outcome that they end with.
func (c *Client) Stop(
	ctx context.Context, address string, token model.Token, outcome model.Outcome, attempts []model.AttemptID,
) error {
	_, err := c.command(ctx, address, PathStop, StopMessage{Token: token, Outcome: outcome, Attempts: attempts})
	return err
}

// Checkpoint saves the progress of an attempt on the worker at address.
func (c *Client) Checkpoint(ctx context.Context, address string, token model.Token, attempt model.AttemptID) error {
	_, err := c.command(ctx, address, PathCheckpoint, CheckpointMessage{Token: token, Attempt: attempt})
	return err
}

// Throttle limits an attempt to a fraction of its reserved processors.
func (c *Client) Throttle(
	ctx context.Context, address string, token model.Token, attempt model.AttemptID, fraction float64,
) error {
	_, err := c.command(ctx, address, PathThrottle, ThrottleMessage{Token: token, Attempt: attempt, Fraction: fraction})
	return err
}

// Acknowledge tells the worker at address that the ends of attempts are recorded, so that it need not report them any more.
func (c *Client) Acknowledge(
	ctx context.Context, address string, token model.Token, attempts []model.AttemptID,
) error {
	_, err := c.command(ctx, address, PathAcknowledge, AcknowledgeMessage{Token: token, Attempts: attempts})
	return err
}

func (c *Client) command(ctx context.Context, address, path string, message any) ([]byte, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("encoding a command: %w", err)
	}
	status, answer, err := c.do(ctx, httpCall{
		method: fasthttp.MethodPost, address: address, path: path, body: body, timeout: c.cfg.CommandTimeout,
	})
	if err != nil {
		return nil, fmt.Errorf("%w: %s%s: %w", ports.ErrUnreachable, address, path, err)
	}
	if status == fasthttp.StatusOK {
		return answer, nil
	}
	code, detail := decodeRefusal(status, answer)
	return nil, fmt.Errorf("%w: %s%s: %w", workerError(code), address, path, detail)
}

func workerError(code Code) error {
	switch code {
	case CodeLeaseHeld:
		return ports.ErrLeaseHeld
	case CodeStaleToken:
		return ports.ErrStaleToken
	case CodeUnknownTask:
		return ports.ErrUnknownTask
	default:
		return ports.ErrUnreachable
	}
}
