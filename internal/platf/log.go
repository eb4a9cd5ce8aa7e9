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

// Append appends a record. ErrUnavailable and ErrThrottled mean that it had no effect; ErrUnknownEffect means that there
// was no valid answer, so the record may have been appended.
func (c *Client) Append(ctx context.Context, data []byte) (model.Offset, error) {
	status, body, err := c.do(ctx, httpCall{
		method: fasthttp.MethodPost, address: c.cfg.Address, path: PathRecords, body: data, binary: true,
		timeout: c.cfg.Timeout,
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

// appendRefusal returns the error for an append that was answered but not accepted. Only a refusal with a code of the
// platform proves that the append had no effect; any other answer may come from a proxy, after the append took effect.
func appendRefusal(status int, body []byte) error {
	code, detail := decodeRefusal(status, body)
	switch {
	case status == fasthttp.StatusTooManyRequests && code == CodeThrottled:
		return fmt.Errorf("%w: appending: %w", ports.ErrThrottled, detail)
	case status == fasthttp.StatusServiceUnavailable && code == CodeUnavailable, code == CodeBadRequest:
		return fmt.Errorf("%w: appending: %w", ports.ErrUnavailable, detail)
	default:
		return fmt.Errorf("%w: appending: %w", ports.ErrUnknownEffect, detail)
	}
}

// Read returns up to limit records that start at offset from, and waits up to wait for the first one. It returns
// ErrTruncated if the log no longer keeps that offset, and ErrUnavailable for any other failure.
func (c *Client) Read(ctx context.Context, from model.Offset, limit int, wait time.Duration) (ports.Batch, error) {
	query := "?from=" + strconv.FormatInt(int64(from), 10) + "&limit=" + strconv.Itoa(limit) + "&wait=" + wait.String()
	status, body, err := c.do(ctx, httpCall{
		method: fasthttp.MethodGet, address: c.cfg.Address, path: PathRecords + query, timeout: wait + c.cfg.Timeout,
	})
	if err != nil {
		return ports.Batch{}, fmt.Errorf("%w: reading from offset %d: %w", ports.ErrUnavailable, from, err)
	}
	if status != fasthttp.StatusOK {
		code, detail := decodeRefusal(status, body)
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

// List returns the platform's instance list; any failure is ErrUnavailable.
func (c *Client) List(ctx context.Context) ([]ports.Instance, error) {
	status, body, err := c.do(ctx, httpCall{
		method: fasthttp.MethodGet, address: c.cfg.Address, path: PathList, timeout: c.cfg.Timeout,
	})
	if err != nil {
		return nil, fmt.Errorf("%w: listing instances: %w", ports.ErrUnavailable, err)
	}
	if status != fasthttp.StatusOK {
		_, detail := decodeRefusal(status, body)
		return nil, fmt.Errorf("%w: listing instances: %w", ports.ErrUnavailable, detail)
	}
	var answer ListAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return nil, fmt.Errorf("%w: decoding the list: %w", ports.ErrUnavailable, err)
	}
	return answer.Instances, nil
}

// Register adds an instance to the list or replaces its entry; any failure is ErrUnavailable.
func (c *Client) Register(ctx context.Context, instance ports.Instance) error {
	return c.changeList(ctx, fasthttp.MethodPost, PathInstances, instance)
}

// Mark sets the presence of an instance in the list; any failure is ErrUnavailable.
func (c *Client) Mark(ctx context.Context, id string, presence ports.Presence) error {
	return c.changeList(ctx, fasthttp.MethodPost, PathInstances+"/"+id+"/presence", PresenceMessage{Presence: presence})
}

// Remove removes an instance from the list; any failure is ErrUnavailable.
func (c *Client) Remove(ctx context.Context, id string) error {
	return c.changeList(ctx, fasthttp.MethodDelete, PathInstances+"/"+id, struct{}{})
}

func (c *Client) changeList(ctx context.Context, method, path string, message any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return fmt.Errorf("encoding a change of the list: %w", err)
	}
	status, answer, err := c.do(ctx, httpCall{
		method: method, address: c.cfg.Address, path: path, body: body, timeout: c.cfg.Timeout,
	})
	if err != nil {
		return fmt.Errorf("%w: changing the list: %w", ports.ErrUnavailable, err)
	}
	if status != fasthttp.StatusOK {
		_, detail := decodeRefusal(status, answer)
		return fmt.Errorf("%w: changing the list: %w", ports.ErrUnavailable, detail)
	}
	return nil
}
