package admin

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/opapi"
	"arbutuswing.example/internal/strict"
)

// reply is the status code of an answer and the value that is encoded as its body.
type reply struct {
	status int
	body   any
}

type handler func(ctx *fasthttp.RequestCtx) reply

func ok(body any) reply { return reply{fasthttp.StatusOK, body} }

// refuse returns an error reply which says that nothing was recorded.
func refuse(status int, kind opapi.ErrorKind, format string, args ...any) reply {
	return reply{status, opapi.Error{Error: kind, Detail: fmt.Sprintf(format, args...), Outcome: opapi.NotRun}}
}

func refuseWithProblems(status int, kind opapi.ErrorKind, detail string, problems []strict.Problem) reply {
	return reply{status, opapi.Error{Error: kind, Detail: detail, Outcome: opapi.NotRun, Problems: problems}}
}

func conflict(inForce model.Offset, format string, args ...any) reply {
	return reply{fasthttp.StatusConflict, opapi.Error{
		Error: opapi.KindConflict, Detail: fmt.Sprintf(format, args...), Outcome: opapi.NotRun, OffsetInForce: &inForce,
	}}
}

// submitFailed returns the reply for operations that were not recorded, or that may still be recorded.
func (s *Server) submitFailed(err error) reply {
	if errors.Is(err, s.config.NotRecorded) {
		return refuse(fasthttp.StatusServiceUnavailable, opapi.KindUnavailable, "nothing was recorded: %s", err)
	}
	return reply{fasthttp.StatusGatewayTimeout, opapi.Error{
		Error: opapi.KindUnknown, Detail: fmt.Sprintf("it may still be recorded: %s", err), Outcome: opapi.Unknown,
	}}
}

// answer returns a handler that encodes the reply of next and counts calls by route and status.
func (s *Server) answer(route string, next handler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		result := next(ctx)
		data, err := json.Marshal(result.body)
		if err != nil {
			s.config.Log.Error("encoding an answer failed", zap.String("route", route), zap.Error(err))
			ctx.SetStatusCode(fasthttp.StatusInternalServerError)
			return
		}
		ctx.SetStatusCode(result.status)
		ctx.SetContentType("application/json")
		ctx.SetBody(append(data, '\n'))
		metrics.GetOrCreateCounter(fmt.Sprintf(`aw_operator_calls_total{route=%q,status="%d"}`, route, result.status)).Inc()
	}
}

// decode decodes the body into message. If the body is invalid, for example because of an unknown key, it returns a
// refusal and false.
func decode(ctx *fasthttp.RequestCtx, message any) (reply, bool) {
	_, err := strict.Decode("", ctx.PostBody(), message)
	if err == nil {
		return reply{}, true
	}
	var problems strict.Problems
	errors.As(err, &problems)
	return refuseWithProblems(fasthttp.StatusBadRequest, opapi.KindBadRequest, "malformed message", problems), false
}

func noSuchPath(ctx *fasthttp.RequestCtx) reply {
	return refuse(fasthttp.StatusNotFound, opapi.KindNotFound, "no such path: %s", ctx.Path())
}

func wrongMethod(ctx *fasthttp.RequestCtx) reply {
	return refuse(fasthttp.StatusMethodNotAllowed, opapi.KindBadRequest, "%s is not served on %s", ctx.Method(), ctx.Path())
}
