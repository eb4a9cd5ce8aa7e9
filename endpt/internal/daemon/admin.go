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

// routes returns the routes of the admin API, which sets faults and shows the audit.
func (d *Daemon) routes() *router.Router {
	r := router.New()
	r.GET("/health", func(ctx *fasthttp.RequestCtx) { writeJSON(ctx, struct{}{}) })
	r.GET("/audit", d.reportAudit)
	r.GET("/faults", func(ctx *fasthttp.RequestCtx) { writeJSON(ctx, listFaultsAnswer{Faults: d.faults.Active()}) })
	r.POST("/faults", d.addFault)
	r.DELETE("/faults", d.clearFault)
	r.DELETE("/faults/{id}", d.clearFault)
	return r
}

// listFaultsAnswer lists the active faults.
type listFaultsAnswer struct {
	Faults []fault.Fault `json:"faults"`
}

// addFaultAnswer is the answer to a new fault; Hit is the number of connections or endpoints that a fault with an
// immediate effect has affected.
type addFaultAnswer struct {
	ID  int `json:"id"`
	Hit int `json:"hit,omitempty"`
}

// reportAudit answers with all counts; with the query all=true also with the runs of every request.
func (d *Daemon) reportAudit(ctx *fasthttp.RequestCtx) {
	report := d.counters.Report(ctx.QueryArgs().GetBool("all"))
	for _, e := range d.endpoints {
		report.Endpoints[e.Spec().ID] = e.Load()
	}
	writeJSON(ctx, report)
}

func (d *Daemon) addFault(ctx *fasthttp.RequestCtx) {
	var requested fault.Fault
	decoder := json.NewDecoder(bytes.NewReader(ctx.PostBody()))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&requested); err != nil {
		writeError(ctx, err)
		return
	}
	id, err := d.faults.Add(requested)
	if err != nil {
		writeError(ctx, err)
		return
	}
	hit := d.applyFault(requested)
	d.log.Info("fault set", zap.Int("id", id), zap.String("kind", string(requested.Kind)), zap.Int("hit", hit))
	writeJSON(ctx, addFaultAnswer{ID: id, Hit: hit})
}

// applyFault carries out the immediate effect of a fault, if its kind has one, and returns how many connections or endpoints
// it affected.
func (d *Daemon) applyFault(f fault.Fault) int {
	selected := func(spec setup.Spec) bool { return f.AppliesTo(spec.ID, spec.Class) }
	switch f.Kind {
	case fault.SilentConnections:
		hit := 0
		for _, e := range d.endpoints {
			if selected(e.Spec()) {
				hit += e.SilenceConnections()
			}
		}
		return hit
	case fault.Leave:
		return d.leaveEndpoints(context.Background(), selected)
	default:
		return 0
	}
}

// clearFault clears the fault with the ID in the path, or all faults if there is none.
func (d *Daemon) clearFault(ctx *fasthttp.RequestCtx) {
	id := 0
	if text, _ := ctx.UserValue("id").(string); text != "" {
		var err error
		if id, err = strconv.Atoi(text); err != nil || id < 1 {
			writeError(ctx, fault.ErrUnknownFault)
			return
		}
	}
	if err := d.faults.Clear(id); err != nil {
		writeError(ctx, err)
		return
	}
	d.log.Info("fault cleared", zap.Int("id", id))
	writeJSON(ctx, struct{}{})
}

func writeJSON(ctx *fasthttp.RequestCtx, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		writeError(ctx, err)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

func writeError(ctx *fasthttp.RequestCtx, cause error) {
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
