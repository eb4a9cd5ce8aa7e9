package peer

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"
	"go.uber.org/zap"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/peerpb"
	"arbutuswing.example/internal/ports"
)

const (
	// headerTimeout limits the time that a client may take to send the request header.
	headerTimeout = 2 * time.Second
	// serverIdleTimeout is longer than the client's IdleTimeout, so that the client closes idle connections first.
	// Otherwise a request could fail because the server is just closing its connection.
	serverIdleTimeout = 90 * time.Second
)

// Server serves calls from other entry instances.
type Server struct {
	cfg  ServerConfig
	http *http.Server
}

// NewServer returns a server, which Run starts. It returns ErrConfig for invalid settings.
func NewServer(cfg ServerConfig) (*Server, error) {
	cfg = cfg.WithDefaults()
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	s := &Server{cfg: cfg}
	handler := peerpb.NewPeerServer(rpcHandler{cfg: cfg}, twirp.WithServerPathPrefix(pathPrefix))
	s.http = &http.Server{
		Handler:           http.MaxBytesHandler(handler, cfg.MaxBody),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       serverIdleTimeout,
	}
	return s, nil
}

// Run serves until ctx ends and then waits up to StopTimeout for open calls. It returns an error if serving fails or if
// connections cannot be closed.
func (s *Server) Run(ctx context.Context) error {
	failed := make(chan error, 1)
	go s.runServe(failed)
	select {
	case err := <-failed:
		return fmt.Errorf("serving peers on %s: %w", s.cfg.Listener.Addr(), err)
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.cfg.StopTimeout)
	defer cancel()
	if err := s.http.Shutdown(stop); err != nil {
		s.cfg.Logger.Warn("closing peer calls that did not finish", zap.Error(err))
		return s.http.Close()
	}
	return nil
}

func (s *Server) runServe(failed chan<- error) {
	if err := s.http.Serve(s.cfg.Listener); !errors.Is(err, http.ErrServerClosed) {
		failed <- err
	}
}

// Dump returns the server's address for the state dump.
func (s *Server) Dump() any {
	return struct {
		Address string `json:"address"`
	}{s.cfg.Listener.Addr().String()}
}

// rpcHandler implements the generated service with the configured handlers.
type rpcHandler struct{ cfg ServerConfig }

func (s rpcHandler) Beat(ctx context.Context, req *peerpb.BeatRequest) (*peerpb.BeatResponse, error) {
	answer, err := s.cfg.Heartbeats.HandleHeartbeat(ctx, statusFromWire(req.GetStatus()))
	if err != nil {
		return nil, errorToWire(err)
	}
	return answerToWire(answer), nil
}

func (s rpcHandler) ReadLog(ctx context.Context, req *peerpb.ReadLogRequest) (*peerpb.ReadLogResponse, error) {
	limit := min(int(req.GetLimit()), s.cfg.MaxRecords)
	wait := min(time.Duration(req.GetWait()), s.cfg.MaxWait)
	batch, err := s.cfg.Stream.ReadLog(ctx, model.Offset(req.GetFrom()), limit, wait)
	if errors.Is(err, ports.ErrTruncated) {
		out := batchToWire(ports.Batch{First: batch.First, Next: batch.Next})
		out.Truncated = true
		return out, nil
	}
	if err != nil {
		return nil, errorToWire(err)
	}
	return batchToWire(batch), nil
}

func (s rpcHandler) AppendLog(ctx context.Context, req *peerpb.AppendLogRequest) (*peerpb.AppendLogResponse, error) {
	offset, err := s.cfg.Stream.AppendLog(ctx, req.GetData())
	if err != nil {
		return nil, errorToWire(err)
	}
	return &peerpb.AppendLogResponse{Offset: int64(offset)}, nil
}

func (s rpcHandler) Snapshot(ctx context.Context, _ *peerpb.SnapshotRequest) (*peerpb.SnapshotResponse, error) {
	snap, err := s.cfg.Stream.Snapshot(ctx)
	if err != nil {
		return nil, errorToWire(err)
	}
	return &peerpb.SnapshotResponse{
		At: int64(snap.At), Data: snap.Data, Recorded: int64(snap.Recorded), RecordedAge: int64(snap.RecordedAge),
	}, nil
}
