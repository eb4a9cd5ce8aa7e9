package server

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/platf"
	"arbutuswing.example/internal/ports"
)

const (
	maxWait      = 30 * time.Second
	maxRecords   = 5000
	defaultLimit = 500
)

// withLogFaults applies the faults of the log to a call before handling it.
func (s *Server) withLogFaults(handle fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if delay := s.Faults.LogDelay(); delay > 0 {
			s.sleep(delay)
		}
		down, silent := s.Faults.LogDown()
		switch {
		case s.Faults.IsPlatformUnreachable(callerDataCentre(ctx)), down && silent:
			s.leaveUnanswered(ctx)
		case down:
			writeError(ctx, fmt.Errorf("%w: outage", ports.ErrUnavailable))
		default:
			handle(ctx)
		}
	}
}

// sleep waits for delay or until the server stops.
func (s *Server) sleep(delay time.Duration) {
	timer := s.Clock.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-s.closing.Done():
	}
}

func (s *Server) appendRecord(ctx *fasthttp.RequestCtx) {
	offset, err := s.Store.Append(ctx.PostBody())
	if err != nil {
		writeError(ctx, err)
		return
	}
	if s.Faults.DropAppendAnswer() {
		closeConnection(ctx)
		return
	}
	writeJSON(ctx, platf.AppendAnswer{Offset: offset})
}

func (s *Server) readRecords(ctx *fasthttp.RequestCtx) {
	query, err := readQuery(ctx.QueryArgs())
	if err != nil {
		writeError(ctx, err)
		return
	}
	waiting, cancel := context.WithTimeout(s.closing, query.wait)
	defer cancel()
	batch, err := s.Store.Read(waiting, query.from, query.limit)
	if err != nil {
		writeError(ctx, err)
		return
	}
	// An outage or a partition that began during the wait also affects the answer.
	if down, silent := s.Faults.LogDown(); down && !silent {
		writeError(ctx, fmt.Errorf("%w: outage", ports.ErrUnavailable))
		return
	} else if down || s.Faults.IsPlatformUnreachable(callerDataCentre(ctx)) {
		s.leaveUnanswered(ctx)
		return
	}
	writeJSON(ctx, platf.ReadAnswer(batch))
}

type recordQuery struct {
	from  model.Offset
	limit int
	wait  time.Duration
}

func readQuery(args *fasthttp.Args) (recordQuery, error) {
	from, err := strconv.ParseInt(string(args.Peek("from")), 10, 64)
	if err != nil || from < 0 {
		return recordQuery{}, fmt.Errorf("%w: from: %q is no offset", errBadQuery, args.Peek("from"))
	}
	query := recordQuery{from: model.Offset(from), limit: defaultLimit}
	if text := args.Peek("limit"); len(text) > 0 {
		if query.limit, err = strconv.Atoi(string(text)); err != nil || query.limit < 1 {
			return recordQuery{}, fmt.Errorf("%w: limit: %q is no positive number", errBadQuery, text)
		}
	}
	if text := args.Peek("wait"); len(text) > 0 {
		if query.wait, err = time.ParseDuration(string(text)); err != nil || query.wait < 0 {
			return recordQuery{}, fmt.Errorf("%w: wait: %q is no duration", errBadQuery, text)
		}
	}
	query.limit = min(query.limit, maxRecords)
	query.wait = min(query.wait, maxWait)
	return query, nil
}
