package peers

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"arbutuswing.example/internal/accept"
	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/work"
)

// Owner answers the calls about jobs on this node. Its methods return ErrNotOwner while the node doesn't own the jobs;
// State returns ErrUnknownJob for a job that doesn't exist.
type Owner interface {
	State(id model.JobID) (work.State, error)
	Pending(queue string) (int, error)
	Submit(job work.Job) error
	Report(info NodeInfo) (ReportReply, error)
}

// ServerConfig configures a server.
type ServerConfig struct {
	// Address is the IP:port to listen on.
	Address string
	Owner   Owner
	Advisor agent.Advisor
	Log     *zap.Logger
}

// Server serves the calls of other nodes.
type Server struct {
	cfg  ServerConfig
	http *fasthttp.Server
}

// NewServer returns a server that doesn't listen yet.
func NewServer(cfg ServerConfig) *Server {
	s := &Server{cfg: cfg}
	r := router.New()
	r.GET(pathState, s.state)
	r.GET(pathPending, s.pending)
	r.POST(pathAdvise, s.advise)
	r.POST(pathSubmit, s.submit)
	r.POST(pathReport, s.report)
	s.http = &fasthttp.Server{Handler: r.Handler, NoDefaultServerHeader: true, NoDefaultDate: true}
	return s
}

// Run serves calls until the context ends.
func (s *Server) Run(ctx context.Context) error {
	listener, err := accept.Listen(s.cfg.Address)
	if err != nil {
		return fmt.Errorf("listening for nodes: %w", err)
	}
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	if err := s.http.Serve(listener); err != nil && ctx.Err() == nil {
		return fmt.Errorf("serving nodes: %w", err)
	}
	return nil
}

func (s *Server) state(ctx *fasthttp.RequestCtx) {
	state, err := s.cfg.Owner.State(model.JobID(ctx.QueryArgs().Peek("id")))
	s.reply(ctx, stateBody{state}, err)
}

func (s *Server) pending(ctx *fasthttp.RequestCtx) {
	n, err := s.cfg.Owner.Pending(string(ctx.QueryArgs().Peek("queue")))
	s.reply(ctx, pendingBody{n}, err)
}

func (s *Server) advise(ctx *fasthttp.RequestCtx) {
	var req agent.AdviceRequest
	if err := json.Unmarshal(ctx.PostBody(), &req); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	advice, err := s.cfg.Advisor.Advise(context.Background(), req)
	s.reply(ctx, advice, err)
}

func (s *Server) submit(ctx *fasthttp.RequestCtx) {
	job, err := work.DecodeJob(ctx.PostBody())
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s.reply(ctx, struct{}{}, s.cfg.Owner.Submit(job))
}

func (s *Server) report(ctx *fasthttp.RequestCtx) {
	var info NodeInfo
	if err := json.Unmarshal(ctx.PostBody(), &info); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	reply, err := s.cfg.Owner.Report(info)
	s.reply(ctx, reply, err)
}

func (s *Server) reply(ctx *fasthttp.RequestCtx, body any, err error) {
	switch {
	case errors.Is(err, ErrNotOwner):
		ctx.Error(err.Error(), fasthttp.StatusMisdirectedRequest)
		return
	case errors.Is(err, ErrUnknownJob):
		ctx.Error(err.Error(), fasthttp.StatusNotFound)
		return
	case errors.Is(err, agent.ErrBusy):
		ctx.Error(err.Error(), fasthttp.StatusTooManyRequests)
		return
	case err != nil:
		s.cfg.Log.Info("node call failed", zap.ByteString("path", ctx.Path()), zap.Error(err))
		ctx.Error(err.Error(), fasthttp.StatusBadGateway)
		return
	}
	data, err := json.Marshal(body)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}
