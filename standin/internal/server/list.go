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

// withListFaults applies partitions to a call to the instance list before handling it.
func (s *Server) withListFaults(handle fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if s.Faults.IsPlatformUnreachable(callerDataCentre(ctx)) {
			s.leaveUnanswered(ctx)
			return
		}
		handle(ctx)
	}
}

func (s *Server) listInstances(ctx *fasthttp.RequestCtx) {
	writeJSON(ctx, platf.ListAnswer{Instances: s.Instances.List()})
}

func (s *Server) register(ctx *fasthttp.RequestCtx) {
	var instance ports.Instance
	err := decodeBody(ctx, &instance)
	if err == nil {
		err = s.Instances.Put(instance)
	}
	writeResult(ctx, err)
}

func (s *Server) setPresence(ctx *fasthttp.RequestCtx) {
	var message platf.PresenceMessage
	err := decodeBody(ctx, &message)
	if err == nil {
		err = s.Instances.Mark(pathParam(ctx, "id"), message.Presence)
	}
	writeResult(ctx, err)
}

func (s *Server) remove(ctx *fasthttp.RequestCtx) {
	writeResult(ctx, s.Instances.Remove(pathParam(ctx, "id")))
}

func writeResult(ctx *fasthttp.RequestCtx, err error) {
	if err != nil {
		writeError(ctx, err)
		return
	}
	writeJSON(ctx, struct{}{})
}

// addFaultAnswer is the answer to a new fault.
type addFaultAnswer struct {
	ID int `json:"id"`
}

// listFaultsAnswer lists the active faults.
type listFaultsAnswer struct {
	Faults []fault.Fault `json:"faults"`
}

func (s *Server) addFault(ctx *fasthttp.RequestCtx) {
	var requested fault.Fault
	if err := decodeBody(ctx, &requested); err != nil {
		writeError(ctx, err)
		return
	}
	id, err := s.Faults.Add(requested)
	if err != nil {
		writeError(ctx, err)
		return
	}
	s.applyFault(requested)
	s.Log.Info("fault set", zap.Int("id", id), zap.String("kind", string(requested.Kind)))
	writeJSON(ctx, addFaultAnswer{ID: id})
}

// applyFault carries out the immediate effect of a fault, if its kind has one.
func (s *Server) applyFault(f fault.Fault) {
	switch f.Kind {
	case fault.LogTruncate:
		s.Store.Truncate(f.Before)
	case fault.WorkerReboot:
		s.Fleet.Reboot(func(spec fleet.Spec) bool { return spec.ID == f.Worker })
	case fault.RackPoweredOff:
		s.Fleet.Reboot(func(spec fleet.Spec) bool {
			return spec.DataCentre == f.DataCentre && (f.Rack == "" || spec.Rack == f.Rack)
		})
	default:
	}
}

func (s *Server) listFaults(ctx *fasthttp.RequestCtx) {
	writeJSON(ctx, listFaultsAnswer{Faults: s.Faults.Active()})
}

// clearFault clears the fault with the ID in the path, or all faults if there is none.
func (s *Server) clearFault(ctx *fasthttp.RequestCtx) {
	id := 0
	if text := pathParam(ctx, "id"); text != "" {
		var err error
		if id, err = strconv.Atoi(text); err != nil || id < 1 {
			writeError(ctx, errBadQuery)
			return
		}
	}
	err := s.Faults.Clear(id)
	s.Log.Info("fault cleared", zap.Int("id", id), zap.Error(err))
	writeResult(ctx, err)
}

func (s *Server) audit(ctx *fasthttp.RequestCtx) { writeJSON(ctx, s.Fleet.Audit()) }
