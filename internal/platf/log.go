package platf

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"arbutuswing.example/internal/httpc"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/ports"
)

// Append writes one record. ErrUnavailable and ErrThrottled mean that it had no effect; ErrUnknownEffect means that
// no usable answer came.
func (c *Client) Append(ctx context.Context, data []byte) (model.Offset, error) {
	status, body, err := c.do(ctx, exchange{
		method: fasthttp.MethodPost, address: c.cfg.Address, path: PathRecords, body: data, raw: true, timeout: c.cfg.Timeout,
	})
	switch {
	case errors.Is(err, httpc.ErrNotSent):
		return model.NoOffset, fmt.Errorf("%w: appending: %w", ports.ErrUnavailable, err)
	case err != nil:
		return model.NoOffset, fmt.Errorf("%w: appending: %w", ports.ErrUnknownEffect, err)
	case status == fasthttp.StatusOK:
		answer := AppendAnswer{Offset: model.NoOffset}
		if err := json.Unmarshal(body, &answer); err != nil || answer.Offset < 0 {
			return model.NoOffset, fmt.Errorf("%w: unreadable answer to an append: %q", ports.ErrUnknownEffect, body)
		}
		return answer.Offset, nil
	}
	return model.NoOffset, appendRefusal(status, body)
}

// appendRefusal trusts only refusals that the platform itself has written; any other may come from a device on the
// way, after the append took effect.
func appendRefusal(status int, body []byte) error {
	code, detail := refusalOf(status, body)
	switch {
	case status == fasthttp.StatusTooManyRequests && code == CodeThrottled:
		return fmt.Errorf("%w: appending: %w", ports.ErrThrottled, detail)
	case status == fasthttp.StatusServiceUnavailable && code == CodeUnavailable, code == CodeBadRequest:
		return fmt.Errorf("%w: appending: %w", ports.ErrUnavailable, detail)
	default:
		return fmt.Errorf("%w: appending: %w", ports.ErrUnknownEffect, detail)
	}
}

// Read returns records from offset from on; it waits up to wait for the first one.
func (c *Client) Read(ctx context.Context, from model.Offset, limit int, wait time.Duration) (ports.Batch, error) {
	query := "?from=" + strconv.FormatInt(int64(from), 10) + "&limit=" + strconv.Itoa(limit) + "&wait=" + wait.String()
	status, body, err := c.do(ctx, exchange{
		method: fasthttp.MethodGet, address: c.cfg.Address, path: PathRecords + query, timeout: wait + c.cfg.Timeout,
	})
	if err != nil {
		return ports.Batch{}, fmt.Errorf("%w: reading from offset %d: %w", ports.ErrUnavailable, from, err)
	}
	if status != fasthttp.StatusOK {
		code, detail := refusalOf(status, body)
		if status == fasthttp.StatusGone && code == CodeTruncated {
			return ports.Batch{}, fmt.Errorf("%w: reading from offset %d: %w", ports.ErrTruncated, from, detail)
		}
		return ports.Batch{}, fmt.Errorf("%w: reading from offset %d: %w", ports.ErrUnavailable, from, detail)
	}
	var answer ReadAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return ports.Batch{}, fmt.Errorf("%w: unreadable records: %w", ports.ErrUnavailable, err)
	}
	return ports.Batch(answer), nil
}

// List returns the platform's list; any failure is ErrUnavailable.
func (c *Client) List(ctx context.Context) ([]ports.Instance, error) {
	status, body, err := c.do(ctx, exchange{
		method: fasthttp.MethodGet, address: c.cfg.Address, path: PathList, timeout: c.cfg.Timeout,
	})
	if err != nil {
		return nil, fmt.Errorf("%w: listing instances: %w", ports.ErrUnavailable, err)
	}
	if status != fasthttp.StatusOK {
		_, detail := refusalOf(status, body)
		return nil, fmt.Errorf("%w: listing instances: %w", ports.ErrUnavailable, detail)
	}
	var answer ListAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return nil, fmt.Errorf("%w: unreadable list: %w", ports.ErrUnavailable, err)
	}
	return answer.Instances, nil
}

// Register adds an instance to the list or replaces its row; any failure is ErrUnavailable.
func (c *Client) Register(ctx context.Context, row ports.Instance) error {
	return c.changeList(ctx, fasthttp.MethodPost, PathInstances, row)
}

// Mark changes an instance's presence on the list; any failure is ErrUnavailable.
func (c *Client) Mark(ctx context.Context, id string, presence ports.Presence) error {
	return c.changeList(ctx, fasthttp.MethodPost, PathInstances+"/"+id+"/presence", PresenceMessage{Presence: presence})
}

// Remove takes an instance off the list; any failure is ErrUnavailable.
func (c *Client) Remove(ctx context.Context, id string) error {
	return c.changeList(ctx, fasthttp.MethodDelete, PathInstances+"/"+id, struct{}{})
}

func (c *Client) changeList(ctx context.Context, method, path string, message any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return fmt.Errorf("encoding a change of the list: %w", err)
	}
	status, answer, err := c.do(ctx, exchange{
		method: method, address: c.cfg.Address, path: path, body: body, timeout: c.cfg.Timeout,
	})
	if err != nil {
		return fmt.Errorf("%w: changing the list: %w", ports.ErrUnavailable, err)
	}
	if status != fasthttp.StatusOK {
		_, detail := refusalOf(status, answer)
		return fmt.Errorf("%w: changing the list: %w", ports.ErrUnavailable, detail)
	}
	return nil
}
