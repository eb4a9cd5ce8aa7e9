package daemon

import (
	"context"
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"arbutuswing.example/internal/accept"
	"arbutuswing.example/internal/config"
	"arbutuswing.example/internal/ledger"
	"arbutuswing.example/internal/logs"
)

// metricsPath is the HTTP path of the metrics, in the Prometheus text format.
const metricsPath = "/metrics"

// metricsServer serves the process's metrics.
type metricsServer struct {
	address string
	http    *fasthttp.Server
}

func newMetricsServer(s config.Node, v *view, store *ledger.InstrumentedStore, buffer *logs.Buffer) *metricsServer {
	metrics.NewGauge(`aw_store_silence_seconds`, func() float64 { return store.TimeSinceAnswer().Seconds() })
	metrics.NewGauge(`aw_config_version`, func() float64 {
		configuration, _ := v.Configuration()
		return float64(configuration.Version)
	})
	metrics.NewGauge(`aw_node_ready`, func() float64 {
		if v.ready() {
			return 1
		}
		return 0
	})
	metrics.NewGauge(`aw_log_lines_left_out`, func() float64 { return float64(buffer.Dropped()) })
	r := router.New()
	r.GET(metricsPath, func(ctx *fasthttp.RequestCtx) {
		ctx.SetContentType("text/plain; charset=utf-8")
		metrics.WritePrometheus(ctx, true)
	})
	return &metricsServer{
		address: s.MetricsAddress,
		http:    &fasthttp.Server{Handler: r.Handler, NoDefaultServerHeader: true, NoDefaultDate: true},
	}
}

// Run serves the metrics until the context ends. If no address is configured, it only waits for that.
func (m *metricsServer) Run(ctx context.Context) error {
	if m.address == "" {
		<-ctx.Done()
		return nil
	}
	listener, err := accept.Listen(m.address)
	if err != nil {
		return fmt.Errorf("listening for metrics: %w", err)
	}
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	if err := m.http.Serve(listener); err != nil && ctx.Err() == nil {
		return fmt.Errorf("serving metrics: %w", err)
	}
	return nil
}
