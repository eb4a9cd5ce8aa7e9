package server

import (
	"errors"
	"strconv"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"arbutuswing.example/internal/platf"
	"arbutuswing.example/internal/ports"
	"arbutuswing.example/standin/internal/fault"
	"arbutuswing.example/standin/internal/fleet"
)

var errBadQuery = errors.New("bad query")

// onList applies the faults that concern every call to the list.
func (s *Server) onList(handle fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if s.Faults.CutOff(from(ctx)) {
			s.silence(ctx)
			return
		}
		handle(ctx)
	}
}

func (s *Server) list(ctx *fasthttp.RequestCtx) {
	answer(ctx, platf.ListAnswer{Instances: s.Roster.List()})
}

func (s *Server) register(ctx *fasthttp.RequestCtx) {
	var row ports.Instance
	err := decode(ctx, &row)
	if err == nil {
		err = s.Roster.Put(row)
	}
	conclude(ctx, err)
}

func (s *Server) mark(ctx *fasthttp.RequestCtx) {
	var message platf.PresenceMessage
	err := decode(ctx, &message)
	if err == nil {
		err = s.Roster.Mark(param(ctx, "id"), message.Presence)
	}
	conclude(ctx, err)
}

func (s *Server) remove(ctx *fasthttp.RequestCtx) {
	conclude(ctx, s.Roster.Remove(param(ctx, "id")))
}

func conclude(ctx *fasthttp.RequestCtx, err error) {
	if err != nil {
		refuseFor(ctx, err)
		return
	}
	answer(ctx, struct{}{})
}

// faultAnswer is the answer to a new fault.
type faultAnswer struct {
	ID int `json:"id"`
}

// faultsAnswer lists the active faults.
type faultsAnswer struct {
	Faults []fault.Fault `json:"faults"`
}

func (s *Server) addFault(ctx *fasthttp.RequestCtx) {
	var wanted fault.Fault
	if err := decode(ctx, &wanted); err != nil {
		refuseFor(ctx, err)
		return
	}
	id, err := s.Faults.Add(wanted)
	if err != nil {
		refuseFor(ctx, err)
		return
	}
	s.apply(wanted)
	s.Log.Info("fault set", zap.Int("id", id), zap.String("kind", string(wanted.Kind)))
	answer(ctx, faultAnswer{ID: id})
}

// apply carries out what a fault does at once.
func (s *Server) apply(f fault.Fault) {
	switch f.Kind {
	case fault.LogTruncate:
		s.Store.Truncate(f.Before)
	case fault.WorkerReboot:
		s.Fleet.Reboot(func(spec fleet.Spec) bool { return spec.ID == f.Worker })
	case fault.RackGone:
		s.Fleet.Reboot(func(spec fleet.Spec) bool {
			return spec.DataCentre == f.DataCentre && (f.Rack == "" || spec.Rack == f.Rack)
		})
	default:
	}
}

func (s *Server) faults(ctx *fasthttp.RequestCtx) {
	answer(ctx, faultsAnswer{Faults: s.Faults.Active()})
}

// clearFault clears one fault, or all without an ID.
func (s *Server) clearFault(ctx *fasthttp.RequestCtx) {
	id := 0
	if text := param(ctx, "id"); text != "" {
		var err error
		if id, err = strconv.Atoi(text); err != nil || id < 1 {
			refuseFor(ctx, errBadQuery)
			return
		}
	}
	err := s.Faults.Clear(id)
	s.Log.Info("fault cleared", zap.Int("id", id), zap.Error(err))
	conclude(ctx, err)
}

func (s *Server) audit(ctx *fasthttp.RequestCtx) { answer(ctx, s.Fleet.Audit()) }
