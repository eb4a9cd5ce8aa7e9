package server

import (
	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/platf"
	"arbutuswing.example/internal/ports"
	"arbutuswing.example/standin/internal/fault"
)

// workerCommand decodes a command to a worker, runs it and returns the body of the answer.
type workerCommand func(ctx *fasthttp.RequestCtx, worker model.WorkerID) (any, error)

func (s *Server) routeWorkers(r *router.Group) {
	r.POST(platf.PathLease, s.withWorkerFaults(s.lease))
	r.POST(platf.PathRelease, s.withWorkerFaults(s.release))
	r.POST(platf.PathStart, s.withWorkerFaults(s.start))
	r.POST(platf.PathStop, s.withWorkerFaults(s.stop))
	r.POST(platf.PathCheckpoint, s.withWorkerFaults(s.checkpoint))
	r.POST(platf.PathThrottle, s.withWorkerFaults(s.throttle))
	r.POST(platf.PathAcknowledge, s.withWorkerFaults(s.acknowledge))
}

// withWorkerFaults applies the faults of a worker to a command.
func (s *Server) withWorkerFaults(run workerCommand) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		spec, err := s.Fleet.Spec(model.WorkerID(pathParam(ctx, "worker")))
		if err != nil {
			writeError(ctx, err)
			return
		}
		location := fault.WorkerLocation{Worker: spec.ID, DataCentre: spec.DataCentre, Rack: spec.Rack}
		if s.Faults.IsWorkerUnreachable(callerDataCentre(ctx), location) {
			s.leaveUnanswered(ctx)
			return
		}
		if delay := s.Faults.CommandDelay(spec.ID); delay > 0 {
			s.sleep(delay)
		}
		body, err := run(ctx, spec.ID)
		switch {
		case s.Faults.DropCommandAnswer(spec.ID):
			closeConnection(ctx)
		case err != nil:
			writeError(ctx, err)
		default:
			writeJSON(ctx, body)
		}
	}
}

func (s *Server) lease(ctx *fasthttp.RequestCtx, worker model.WorkerID) (any, error) {
	var req ports.LeaseRequest
	if err := decodeBody(ctx, &req); err != nil {
		return nil, err
	}
	return s.Fleet.Lease(worker, req)
}

func (s *Server) release(ctx *fasthttp.RequestCtx, worker model.WorkerID) (any, error) {
	var m platf.ReleaseMessage
	if err := decodeBody(ctx, &m); err != nil {
		return nil, err
	}
	return struct{}{}, s.Fleet.Release(worker, m.Token)
}

func (s *Server) start(ctx *fasthttp.RequestCtx, worker model.WorkerID) (any, error) {
	var m platf.StartMessage
	if err := decodeBody(ctx, &m); err != nil {
		return nil, err
	}
	return struct{}{}, s.Fleet.Start(worker, m.Token, m.Starts)
}

func (s *Server) stop(ctx *fasthttp.RequestCtx, worker model.WorkerID) (any, error) {
	var m platf.StopMessage
	if err := decodeBody(ctx, &m); err != nil {
		return nil, err
	}
	return struct{}{}, s.Fleet.Stop(worker, m.Token, m.Outcome, m.Attempts)
}

func (s *Server) checkpoint(ctx *fasthttp.RequestCtx, worker model.WorkerID) (any, error) {
	var m platf.CheckpointMessage
	if err := decodeBody(ctx, &m); err != nil {
		return nil, err
	}
	return struct{}{}, s.Fleet.Checkpoint(worker, m.Token, m.Attempt)
}

func (s *Server) throttle(ctx *fasthttp.RequestCtx, worker model.WorkerID) (any, error) {
	var m platf.ThrottleMessage
	if err := decodeBody(ctx, &m); err != nil {
		return nil, err
	}
	return struct{}{}, s.Fleet.Throttle(worker, m.Token, m.Attempt, m.Fraction)
}

func (s *Server) acknowledge(ctx *fasthttp.RequestCtx, worker model.WorkerID) (any, error) {
	var m platf.AcknowledgeMessage
	if err := decodeBody(ctx, &m); err != nil {
		return nil, err
	}
	return struct{}{}, s.Fleet.Acknowledge(worker, m.Token, m.Attempts)
}

// inspect answers with a worker's report, regardless of faults; tests use it.
func (s *Server) inspect(ctx *fasthttp.RequestCtx) {
	report, err := s.Fleet.Inspect(model.WorkerID(pathParam(ctx, "worker")))
	if err != nil {
		writeError(ctx, err)
		return
	}
	writeJSON(ctx, report)
}
