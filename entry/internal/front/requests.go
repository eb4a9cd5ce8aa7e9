package front

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/route"
)

const (
	maxRequestIDBytes = 200
	maxIDsPerCall     = 1000
)

func (s *Server) handleRequest(ctx *fasthttp.RequestCtx) {
	if !s.ready(ctx) {
		return
	}
	class, ok := s.classOf(ctx)
	if !ok {
		return
	}
	team, ok := s.authorise(ctx, class)
	if !ok {
		return
	}
	req, err := parseRequest(ctx, class, team)
	if err != nil {
		refuse(ctx, fasthttp.StatusBadRequest, reasonBadRequest, err.Error())
		return
	}
	// fasthttp cancels the context of every open call when the server shuts down, so the request gets a context of its own.
	answer, err := s.cfg.Router.Serve(context.Background(), req)
	if err != nil {
		requestFailure(ctx, err)
		return
	}
	if answer.ContentType != "" {
		ctx.SetContentType(answer.ContentType)
	}
	ctx.Response.Header.Set(outcomeHeader, string(OutcomeAnswered))
	ctx.SetStatusCode(answer.Status)
	ctx.SetBody(answer.Body)
}

func (s *Server) ready(ctx *fasthttp.RequestCtx) bool {
	if s.cfg.Connectivity.Ready() {
		return true
	}
	refuse(ctx, fasthttp.StatusServiceUnavailable, reasonNotReady, "this instance has no state yet")
	return false
}

func (s *Server) classOf(ctx *fasthttp.RequestCtx) (decl.Class, bool) {
	name, _ := ctx.UserValue("class").(string)
	set, _ := s.cfg.View.Declarations()
	class, ok := set.Class(model.ClassID(name))
	if !ok {
		refuse(ctx, fasthttp.StatusNotFound, reasonUnknownObject, fmt.Sprintf("no class %q is declared", name))
	}
	return class, ok
}

// authorise returns the team of a call. Open classes need a granted key, and are refused while this instance can't tell
// whether a key has been withdrawn. Other classes need no key: without one, the team is that of the Team header. If the
// call is not authorised, authorise answers it and returns false.
func (s *Server) authorise(ctx *fasthttp.RequestCtx, class decl.Class) (model.TeamID, bool) {
	key := teamKey(ctx)
	if key == "" && !class.Open {
		return model.TeamID(ctx.Request.Header.Peek("Team")), true
	}
	if class.Open && !s.cfg.Connectivity.MayCheckKeys() {
		refuse(ctx, fasthttp.StatusServiceUnavailable, reasonCutOff,
			"this data centre is cut off, so a withdrawn key could not be told from a granted one")
		return "", false
	}
	set, _ := s.cfg.View.Declarations()
	team, ok := set.KeyHolder(key)
	if !ok {
		refuse(ctx, fasthttp.StatusForbidden, reasonKeyRefused, "the team key is missing or not granted")
		return "", false
	}
	return team, true
}

func parseRequest(ctx *fasthttp.RequestCtx, class decl.Class, team model.TeamID) (route.Request, error) {
	header := &ctx.Request.Header
	req := route.Request{
		ID: string(header.Peek("Request-Id")), Class: class.Name, Team: team, Body: ctx.PostBody(),
		Target: class.Target.AnsweredWithin.Std(),
	}
	if len(req.ID) > maxRequestIDBytes {
		return req, fmt.Errorf("header Request-Id: longer than %d bytes", maxRequestIDBytes)
	}
	if text := string(header.Peek("Idempotent")); text != "" {
		idempotent, err := strconv.ParseBool(text)
		if err != nil {
			return req, fmt.Errorf("header Idempotent: must be true or false, not %q", text)
		}
		req.Idempotent = idempotent
	}
	if text := string(header.Peek("Timeout-Ms")); text != "" {
		ms, err := strconv.Atoi(text)
		if err != nil || ms <= 0 {
			return req, fmt.Errorf("header Timeout-Ms: must be a whole number of milliseconds above 0, not %q", text)
		}
		req.Timeout = time.Duration(ms) * time.Millisecond
	}
	return req, nil
}

// issueAnswer is the answer to a call for request IDs.
type issueAnswer struct {
	RequestIDs []string `json:"request-ids"`
}

func (s *Server) handleIssue(ctx *fasthttp.RequestCtx) {
	count := 1
	if text := string(ctx.QueryArgs().Peek("count")); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxIDsPerCall {
			refuse(ctx, fasthttp.StatusBadRequest, reasonBadRequest,
				fmt.Sprintf("count: must be a whole number from 1 to %d, not %q", maxIDsPerCall, text))
			return
		}
		count = n
	}
	out := issueAnswer{RequestIDs: make([]string, 0, count)}
	for range count {
		out.RequestIDs = append(out.RequestIDs, s.cfg.Issuer.Issue())
	}
	writeJSON(ctx, fasthttp.StatusOK, out)
}
