package daemon

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/intake"
	"arbutuswing.example/internal/terms"
	adapt "arbutuswing.example/platform"
)

// TestStagesOfStopShareGrace guards against a stopping node that cuts a call while a part of its grace is unused, or that is killed
// before it has ended.
func TestStagesOfStopShareGrace(t *testing.T) {
	tests := []struct {
		grace, serveUntil, readUntil, answerBy time.Duration
	}{
		{6 * time.Second, 4800 * time.Millisecond, 5100 * time.Millisecond, 5300 * time.Millisecond},
		{10 * time.Second, 8800 * time.Millisecond, 9100 * time.Millisecond, 9300 * time.Millisecond},
		{4 * time.Second, 2800 * time.Millisecond, 3100 * time.Millisecond, 3300 * time.Millisecond},
		{2 * time.Second, 1300 * time.Millisecond, 1300 * time.Millisecond, 1300 * time.Millisecond},
		{500 * time.Millisecond, 0, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.grace.String(), func(t *testing.T) {
			plan := planStop(tt.grace)
			assert.Equal(t, plan.serveUntil, tt.serveUntil)
			assert.Equal(t, plan.readUntil, tt.readUntil)
			assert.Equal(t, plan.answerBy, tt.answerBy)
			assert.Equal(t, plan.exitBy+exitMargin, tt.grace)
			if plan.answerBy > 0 {
				assert.Equal(t, plan.answerBy+answerMargin+componentsTimeout+logFlushTimeout, plan.exitBy)
			}
		})
	}
}

// TestStandstillShortensStop guards against a node that gets its signal late and stands still again, so that the platform kills it while
// calls arrive or wait for their answers.
func TestStandstillShortensStop(t *testing.T) {
	const standstill = 450 * time.Millisecond
	tests := []struct {
		grace, standstill, serveUntil, readUntil, answerBy time.Duration
	}{
		{6 * time.Second, 0, 4800 * time.Millisecond, 5100 * time.Millisecond, 5300 * time.Millisecond},
		{6 * time.Second, standstill, 4350 * time.Millisecond, 4650 * time.Millisecond, 4850 * time.Millisecond},
		{6 * time.Second, 10 * time.Second, minDrainTime, 2800 * time.Millisecond, 2800 * time.Millisecond},
		{4 * time.Second, standstill, minDrainTime, 2800 * time.Millisecond, 2850 * time.Millisecond},
		{2 * time.Second, standstill, 1300 * time.Millisecond, 1300 * time.Millisecond, 1300 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.grace.String()+" "+tt.standstill.String(), func(t *testing.T) {
			plan := planStop(tt.grace).withStandstill(tt.standstill)
			assert.Equal(t, plan.serveUntil, tt.serveUntil)
			assert.Equal(t, plan.readUntil, tt.readUntil)
			assert.Equal(t, plan.answerBy, tt.answerBy)
			assert.Equal(t, plan.exitBy, planStop(tt.grace).exitBy)
		})
	}
}

// lateOwner is an owner that answers a call only some time after its context has ended, as in a process that is short of processor
// time.
type lateOwner struct {
	intake.Owner
	called chan struct{}
	delay  time.Duration
}

func (o lateOwner) Pending(ctx context.Context, _ string) (int, error) {
	close(o.called)
	<-ctx.Done()
	time.Sleep(o.delay)
	return 0, intake.ErrNoOwner
}

// TestStopWaitsForLateAnswers guards against a node that ends while an answer is late, although a part of its grace is left.
func TestStopWaitsForLateAnswers(t *testing.T) {
	const grace = time.Second
	configuration := terms.New(terms.Params{Version: 1, Queues: []terms.Queue{
		{Name: "q", Host: "h.example", Prefix: "/q/", Pool: "p", Anonymous: true, Attempts: 1},
	}})
	owner := lateOwner{called: make(chan struct{}), delay: 350 * time.Millisecond}
	in := adapt.NewIngress(intake.New(intake.Config{
		Configuration: func() (terms.Configuration, bool) { return configuration, true }, Owner: owner, Log: zap.NewNop(),
	}), func() bool { return true })
	address := freeAddress(t)
	assert.NilError(t, in.Listen(address))
	go func() { _ = in.Run() }()
	answered := make(chan int, 1)
	go func() {
		req, _ := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+address+"/q/", http.NoBody)
		req.Host = "h.example"
		req.Header.Set("Request-Deadline", "20000")
		resp, err := http.DefaultTransport.RoundTrip(req)
		if err != nil {
			answered <- 0
			return
		}
		_ = resp.Body.Close()
		answered <- resp.StatusCode
	}()
	<-owner.called
	d := &daemon{components: components{Ingress: in, Log: zap.NewNop()}}
	start, plan := time.Now(), planStop(grace)
	assert.Equal(t, d.stop(start, plan), 0)
	assert.Assert(t, time.Since(start) >= plan.answerBy+owner.delay, "the node ends before the answer")
	assert.Equal(t, <-answered, http.StatusServiceUnavailable)
}

// freeAddress returns an IP:port that was free when it checked.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().String()
}
