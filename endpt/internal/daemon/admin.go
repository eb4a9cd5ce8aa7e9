package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"strconv"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"arbutuswing.example/endpt/internal/fault"
	"arbutuswing.example/endpt/internal/setup"
	"arbutuswing.example/internal/platf"
)

// routes offers faults and audit.
func (d *Daemon) routes() *router.Router {
	r := router.New()
	r.GET("/health", func(ctx *fasthttp.RequestCtx) { answer(ctx, struct{}{}) })
	r.GET("/audit", d.audit)
	r.GET("/faults", func(ctx *fasthttp.RequestCtx) { answer(ctx, faultsAnswer{Faults: d.faults.Active()}) })
	r.POST("/faults", d.addFault)
	r.DELETE("/faults", d.clearFault)
	r.DELETE("/faults/{id}", d.clearFault)
	return r
}

// faultsAnswer lists the active faults.
type faultsAnswer struct {
	Faults []fault.Fault `json:"faults"`
}

// faultAnswer is the answer to a new fault; Hit counts the connections or endpoints that a momentary one hit.
type faultAnswer struct {
	ID  int `json:"id"`
	Hit int `json:"hit,omitempty"`
}

// audit returns all counts; with the query all=true also the runs of every request.
func (d *Daemon) audit(ctx *fasthttp.RequestCtx) {
	report := d.tally.Report(ctx.QueryArgs().GetBool("all"))
	for _, s := range d.sites {
		report.Endpoints[s.Spec().ID] = s.Load()
	}
	answer(ctx, report)
}

func (d *Daemon) addFault(ctx *fasthttp.RequestCtx) {
	var wanted fault.Fault
	decoder := json.NewDecoder(bytes.NewReader(ctx.PostBody()))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&wanted); err != nil {
		refuse(ctx, err)
		return
	}
	id, err := d.faults.Add(wanted)
	if err != nil {
		refuse(ctx, err)
		return
	}
	hit := d.apply(wanted)
	d.log.Info("fault set", zap.Int("id", id), zap.String("kind", string(wanted.Kind)), zap.Int("hit", hit))
	answer(ctx, faultAnswer{ID: id, Hit: hit})
}

// apply carries out what a fault does at once.
func (d *Daemon) apply(f fault.Fault) int {
	chosen := func(spec setup.Spec) bool { return f.Hits(spec.ID, spec.Class) }
	switch f.Kind {
	case fault.Silent:
		hit := 0
		for _, s := range d.sites {
			if chosen(s.Spec()) {
				hit += s.Silence()
			}
		}
		return hit
	case fault.Leave:
		return d.leave(context.Background(), chosen)
	default:
		return 0
	}
}

// clearFault clears one fault, or all without an ID.
func (d *Daemon) clearFault(ctx *fasthttp.RequestCtx) {
	id := 0
	if text, _ := ctx.UserValue("id").(string); text != "" {
		var err error
		if id, err = strconv.Atoi(text); err != nil || id < 1 {
			refuse(ctx, fault.ErrUnknownFault)
			return
		}
	}
	if err := d.faults.Clear(id); err != nil {
		refuse(ctx, err)
		return
	}
	d.log.Info("fault cleared", zap.Int("id", id))
	answer(ctx, struct{}{})
}

func answer(ctx *fasthttp.RequestCtx, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		refuse(ctx, err)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

func refuse(ctx *fasthttp.RequestCtx, cause error) {
	refusal := platf.Refusal{Code: platf.CodeBadRequest, Detail: cause.Error()}
	ctx.SetStatusCode(fasthttp.StatusBadRequest)
	if errors.Is(cause, fault.ErrUnknownFault) {
		refusal.Code = platf.CodeNotFound
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
	data, err := json.Marshal(refusal)
	if err != nil {
		data = nil
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}
