package front

import (
	"encoding/json"
	"errors"
	"strconv"

	"github.com/valyala/fasthttp"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/route"
	"arbutuswing.example/internal/state"
)

// Outcome tells a client whether its call took effect.
type Outcome string

// Outcomes of calls.
const (
	// OutcomeAnswered means that the status and the body are those of the endpoint.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun means that the call had no effect and will have none.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the call may have taken effect or may still do so.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeConflict means that the call does not fit the recorded state, for example because its ID is in use.
	OutcomeConflict Outcome = "conflict"
)

// Reason is the machine-readable reason of a Failure.
type Reason string

// Reasons of failures.
const (
	reasonNoSuchPath       Reason = "no-such-path"
	reasonNotReady         Reason = "not-ready"
	reasonBadRequest       Reason = "bad-request"
	reasonKeyRefused       Reason = "key-refused"
	reasonUnknownObject    Reason = "unknown-object"
	reasonOverloaded       Reason = "overloaded"
	reasonNoEndpoint       Reason = "no-endpoint"
	reasonDeadline         Reason = "deadline"
	reasonDraining         Reason = "draining"
	reasonEndpointsRefused Reason = "endpoints-refused"
	reasonCutOff           Reason = "cut-off"
	reasonLogUnavailable   Reason = "log-unavailable"
	reasonRequestIDInUse   Reason = "request-id-in-use"
	reasonNoAnswer         Reason = "no-answer"
	reasonAlreadyExists    Reason = "already-exists"
)

const (
	// outcomeHeader distinguishes answers of endpoints from answers of the entry instance.
	outcomeHeader = "Outcome"
	contentJSON   = "application/json"
	// retryAfterSeconds is the value of the Retry-After header; clients should add jitter to it.
	retryAfterSeconds = 1
)

// Failure is the body of every answer that is not a success.
type Failure struct {
	Outcome Outcome `json:"outcome"`
	Reason  Reason  `json:"reason"`
	Detail  string  `json:"detail"`
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, body any) {
	if failure, ok := body.(Failure); ok {
		ctx.Response.Header.Set(outcomeHeader, string(failure.Outcome))
	}
	data, err := json.Marshal(body)
	if err != nil {
		ctx.Error("encoding the answer failed", fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType(contentJSON)
	ctx.SetBody(append(data, '\n'))
}

// refuse answers that the call had no effect, with the outcome "not-run".
func refuse(ctx *fasthttp.RequestCtx, status int, reason Reason, detail string) {
	if status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(retryAfterSeconds))
	}
	writeJSON(ctx, status, Failure{Outcome: OutcomeNotRun, Reason: reason, Detail: detail})
}

func answerUnknown(ctx *fasthttp.RequestCtx, reason Reason, detail string) {
	writeJSON(ctx, fasthttp.StatusGatewayTimeout, Failure{Outcome: OutcomeUnknown, Reason: reason, Detail: detail})
}

// requestFailure answers a request for which the router returned an error.
func requestFailure(ctx *fasthttp.RequestCtx, err error) {
	switch {
	case errors.Is(err, route.ErrConflict):
		writeJSON(ctx, fasthttp.StatusConflict,
			Failure{Outcome: OutcomeConflict, Reason: reasonRequestIDInUse, Detail: err.Error()})
	case !errors.Is(err, route.ErrNotRun):
		answerUnknown(ctx, reasonNoAnswer, err.Error())
	case errors.Is(err, route.ErrOverloaded):
		refuse(ctx, fasthttp.StatusTooManyRequests, reasonOverloaded, err.Error())
	case errors.Is(err, route.ErrNoEndpoint):
		refuse(ctx, fasthttp.StatusServiceUnavailable, reasonNoEndpoint, err.Error())
	case errors.Is(err, route.ErrSlotTimeout):
		refuse(ctx, fasthttp.StatusServiceUnavailable, reasonDeadline, err.Error())
	case errors.Is(err, route.ErrDraining):
		refuse(ctx, fasthttp.StatusServiceUnavailable, reasonDraining, err.Error())
	default:
		refuse(ctx, fasthttp.StatusServiceUnavailable, reasonEndpointsRefused, err.Error())
	}
}

// rejectedFailure answers a call whose operation the state machine rejected.
func rejectedFailure(ctx *fasthttp.RequestCtx, err error) {
	switch {
	case errors.Is(err, state.ErrKeyNotGranted):
		refuse(ctx, fasthttp.StatusForbidden, reasonKeyRefused, err.Error())
	case errors.Is(err, state.ErrNotFound):
		refuse(ctx, fasthttp.StatusNotFound, reasonUnknownObject, err.Error())
	default:
		writeJSON(ctx, fasthttp.StatusConflict,
			Failure{Outcome: OutcomeConflict, Reason: reasonAlreadyExists, Detail: err.Error()})
	}
}

// teamKey returns the hash of the client's key, or an empty string if the call has no key.
func teamKey(ctx *fasthttp.RequestCtx) model.KeyHash {
	key := ctx.Request.Header.Peek("Team-Key")
	if len(key) == 0 {
		return ""
	}
	return model.HashKey(string(key))
}
