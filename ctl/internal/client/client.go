package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"arbutuswing.example/ctl/internal/exits"
	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/opapi"
)

// maxResponseBytes bounds an answer in bytes; the dump of 34,000 running tasks takes about 20 MB.
const maxResponseBytes = 256 << 20

// Config tells how to reach the server.
type Config struct {
	// Server is the URL of an entry instance's admin address.
	Server string
	// OperatorKey and OrganisationKey are sent if they are set.
	OperatorKey     string
	OrganisationKey string
	Timeout         time.Duration
}

// Client calls one entry instance; its errors wrap those of package exits.
type Client struct {
	config Config
	http   *http.Client
}

// New returns a client.
func New(config Config) *Client {
	return &Client{config: config, http: &http.Client{Timeout: config.Timeout}}
}

// Declarations returns the declarations in force and their offset.
func (c *Client) Declarations(ctx context.Context) (opapi.Declarations, error) {
	var answer opapi.Declarations
	err := c.call(ctx, http.MethodGet, opapi.DeclarationsPath, nil, &answer)
	answer.Declarations = answer.Declarations.Indexed()
	return answer, err
}

// Change sends a change.
func (c *Client) Change(ctx context.Context, request opapi.ChangeRequest) (opapi.ChangeAnswer, error) {
	var answer opapi.ChangeAnswer
	err := c.call(ctx, http.MethodPost, opapi.ChangesPath, request, &answer)
	return answer, err
}

// Proposals lists the open proposals.
func (c *Client) Proposals(ctx context.Context) ([]opapi.Proposal, error) {
	var answer opapi.Proposals
	err := c.call(ctx, http.MethodGet, opapi.ProposalsPath, nil, &answer)
	return answer.Proposals, err
}

// Verdict sends an organisation's word on a proposal, whose name must be valid.
func (c *Client) Verdict(ctx context.Context, proposal string, request opapi.VerdictRequest) (opapi.VerdictAnswer, error) {
	var answer opapi.VerdictAnswer
	if !decl.ValidName(proposal) {
		return answer, fmt.Errorf("%w: %q is no proposal's id", exits.ErrInput, proposal)
	}
	err := c.call(ctx, http.MethodPost, opapi.VerdictPath(proposal), request, &answer)
	return answer, err
}

// Status returns the instance's view of the system.
func (c *Client) Status(ctx context.Context) (opapi.Status, error) {
	var answer opapi.Status
	err := c.call(ctx, http.MethodGet, opapi.StatusPath, nil, &answer)
	return answer, err
}

// Dump returns the instance's state.
func (c *Client) Dump(ctx context.Context) (opapi.Dump, error) {
	var answer opapi.Dump
	err := c.call(ctx, http.MethodGet, opapi.DumpPath, nil, &answer)
	return answer, err
}

func (c *Client) call(ctx context.Context, method, path string, message, answer any) error {
	request, err := c.request(ctx, method, path, message)
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return fmt.Errorf("%w: %w%s", exits.ErrUnreachable, err, uncertaintyNote(method))
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("%w: reading the answer: %w%s", exits.ErrUnreachable, err, uncertaintyNote(method))
	}
	if response.StatusCode >= http.StatusBadRequest {
		return responseError(response.StatusCode, data)
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return fmt.Errorf("%w: the server's answer is not understood: %w%s", exits.ErrUnreachable, err, uncertaintyNote(method))
	}
	return nil
}

// uncertaintyNote warns that a call that got no answer may have taken effect.
func uncertaintyNote(method string) string {
	if method == http.MethodGet {
		return ""
	}
	return "; if the call reached the server, it may still take effect"
}

func (c *Client) request(ctx context.Context, method, path string, message any) (*http.Request, error) {
	var body io.Reader
	if message != nil {
		data, err := json.Marshal(message)
		if err != nil {
			return nil, fmt.Errorf("encoding a message: %w", err)
		}
		body = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, strings.TrimRight(c.config.Server, "/")+path, body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", exits.ErrInput, err)
	}
	if c.config.OperatorKey != "" {
		request.Header.Set(opapi.OperatorKeyHeader, c.config.OperatorKey)
	}
	if c.config.OrganisationKey != "" {
		request.Header.Set(opapi.OrganisationKeyHeader, c.config.OrganisationKey)
	}
	return request, nil
}

// responseError turns an error answer into an error of package exits.
func responseError(status int, data []byte) error {
	var answer opapi.Error
	if err := json.Unmarshal(data, &answer); err != nil || answer.Error == "" {
		return fmt.Errorf("%w: the server answered %d", exits.ErrUnreachable, status)
	}
	detail := answer.Detail
	for _, problem := range answer.Problems {
		detail += "\n" + problem.Error()
	}
	switch answer.Error {
	case opapi.KindConflict:
		return fmt.Errorf("%w: %s", exits.ErrConflict, detail)
	case opapi.KindUnavailable, opapi.KindUnknown, opapi.KindInternal:
		return fmt.Errorf("%w: %s", exits.ErrUnreachable, detail)
	default:
		return fmt.Errorf("%w: %s", exits.ErrInput, detail)
	}
}
