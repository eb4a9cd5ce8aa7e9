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

// maxResponseBytes limits the size of a response; a state dump with 34,000 running tasks takes about 20 MB.
const maxResponseBytes = 256 << 20

// Config configures a client.
type Config struct {
	// Server is the URL of an entry instance's admin address.
	Server string
	// OperatorKey and OrganisationKey are sent with every call unless they are empty.
	OperatorKey     string
	OrganisationKey string
	// Timeout limits the duration of a call.
	Timeout time.Duration
}

// Client calls the operator API of an entry instance. Its errors wrap those of package exits.
type Client struct {
	config Config
	http   *http.Client
}

// New returns a client with this configuration.
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

// Change submits a change and returns its outcome.
func (c *Client) Change(ctx context.Context, request opapi.ChangeRequest) (opapi.ChangeAnswer, error) {
	var answer opapi.ChangeAnswer
	err := c.call(ctx, http.MethodPost, opapi.ChangesPath, request, &answer)
	return answer, err
}

// Proposals returns the open proposals.
func (c *Client) Proposals(ctx context.Context) ([]opapi.Proposal, error) {
	var answer opapi.Proposals
	err := c.call(ctx, http.MethodGet, opapi.ProposalsPath, nil, &answer)
	return answer.Proposals, err
}

// Verdict sends an organisation's approval or veto of a proposal. It returns exits.ErrInput if the proposal's ID is invalid.
func (c *Client) Verdict(ctx context.Context, proposal string, request opapi.VerdictRequest) (opapi.VerdictAnswer, error) {
	var answer opapi.VerdictAnswer
	if !decl.ValidName(proposal) {
		return answer, fmt.Errorf("%w: %q is not a valid proposal ID", exits.ErrInput, proposal)
	}
	err := c.call(ctx, http.MethodPost, opapi.VerdictPath(proposal), request, &answer)
	return answer, err
}

// Status returns the state of the system as the instance sees it.
func (c *Client) Status(ctx context.Context) (opapi.Status, error) {
	var answer opapi.Status
	err := c.call(ctx, http.MethodGet, opapi.StatusPath, nil, &answer)
	return answer, err
}

// Dump returns the state dump of the instance.
func (c *Client) Dump(ctx context.Context) (opapi.Dump, error) {
	var answer opapi.Dump
	err := c.call(ctx, http.MethodGet, opapi.DumpPath, nil, &answer)
	return answer, err
}

func (c *Client) call(ctx context.Context, method, path string, message, answer any) error {
	request, err := c.newRequest(ctx, method, path, message)
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
		return fmt.Errorf("%w: reading the response: %w%s", exits.ErrUnreachable, err, uncertaintyNote(method))
	}
	if response.StatusCode >= http.StatusBadRequest {
		return responseError(response.StatusCode, data)
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return fmt.Errorf("%w: decoding the response: %w%s", exits.ErrUnreachable, err, uncertaintyNote(method))
	}
	return nil
}

// uncertaintyNote returns a warning that a call without a response may have taken effect, unless the method is GET.
func uncertaintyNote(method string) string {
	if method == http.MethodGet {
		return ""
	}
	return "; if the call reached the server, it may still take effect"
}

func (c *Client) newRequest(ctx context.Context, method, path string, message any) (*http.Request, error) {
	var body io.Reader
	if message != nil {
		data, err := json.Marshal(message)
		if err != nil {
			return nil, fmt.Errorf("encoding the request: %w", err)
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

// responseError converts an error response to an error of package exits.
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
