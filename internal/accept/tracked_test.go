package accept

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

func listenTracked(t *testing.T) *Tracked {
	t.Helper()
	l, err := ListenTracked("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.tcp.Close() })
	return l
}

func dial(t *testing.T, l *Tracked) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// TestCloseAcceptsWaitingConnections guards against connections that a client has opened and that are reset because the server stops
// before it has accepted them.
func TestCloseAcceptsWaitingConnections(t *testing.T) {
	for _, waiting := range []int{0, 1, 5} {
		l := listenTracked(t)
		for range waiting {
			dial(t, l)
		}
		assert.NilError(t, l.Close())
		for range waiting {
			_, err := l.Accept()
			assert.NilError(t, err)
		}
		assert.Assert(t, !l.Progress().Closed)
		_, err := l.Accept()
		assert.Assert(t, errors.Is(err, net.ErrClosed), "got %v", err)
		assert.DeepEqual(t, l.Progress(), Progress{Connections: waiting, Closed: true})
	}
}

// TestReadsEndOnIdleConnectionsOnly guards against a request that has arrived on an open connection when the server ends its reads,
// and that is dropped.
func TestReadsEndOnIdleConnectionsOnly(t *testing.T) {
	tests := []struct {
		name string
		// sent is what the client has sent when reads end; the rest comes later.
		sent, rest string
		want       string
		err        error
	}{
		{"idle", "", "", "", os.ErrDeadlineExceeded},
		{"request has arrived", "request", "", "request", nil},
		{"request arrives in parts", "req", "uest", "request", nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := listenTracked(t)
			client := dial(t, l)
			server, err := l.Accept()
			assert.NilError(t, err)
			_, err = io.WriteString(client, tt.sent)
			assert.NilError(t, err)
			time.Sleep(10 * time.Millisecond)
			l.EndReads(time.Now().Add(-time.Second))
			assert.NilError(t, server.SetReadDeadline(time.Now().Add(time.Minute)))
			got := make([]byte, len(tt.sent), len(tt.want)+1)
			if tt.sent != "" {
				_, err = io.ReadFull(server, got)
				assert.NilError(t, err)
			}
			if tt.rest != "" {
				_, err = io.WriteString(client, tt.rest)
				assert.NilError(t, err)
			}
			if tt.rest != "" || tt.sent == "" {
				rest := make([]byte, max(len(tt.rest), 1))
				n, err := io.ReadFull(server, rest)
				assert.Assert(t, errors.Is(err, tt.err), "got %v", err)
				got = append(got, rest[:n]...)
			}
			assert.Equal(t, string(got), tt.want)
		})
	}
}

// TestStopAnswersRequestsOnOpenConnections guards against a server that closes a kept-alive connection on which the next request has
// just arrived.
func TestStopAnswersRequestsOnOpenConnections(t *testing.T) {
	l := listenTracked(t)
	stopping := make(chan struct{})
	server := &fasthttp.Server{IdleTimeout: time.Minute, Handler: func(ctx *fasthttp.RequestCtx) {
		select {
		case <-stopping:
			ctx.SetConnectionClose()
		default:
		}
	}}
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	client := dial(t, l)
	reader := bufio.NewReader(client)
	// callCloses makes a call and reports whether the answer asks the client to close the connection.
	callCloses := func() bool {
		_, err := io.WriteString(client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		assert.NilError(t, err)
		resp, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		return resp.Close
	}
	assert.Assert(t, !callCloses())
	idle := dial(t, l)

	before := cutRequests.Get()
	close(stopping)
	l.EndReads(time.Now().Add(200 * time.Millisecond))
	assert.NilError(t, l.Close())
	assert.NilError(t, <-served)
	assert.Equal(t, l.Progress().Connections, 2)
	assert.Assert(t, callCloses())
	_, err := io.ReadAll(idle)
	assert.NilError(t, err)
	for end := time.Now().Add(5 * time.Second); !l.Progress().Ended() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, l.Progress().Ended())
	assert.Equal(t, cutRequests.Get(), before)
}

// TestProgressCountsRequestsWithoutAnswer guards against a stop that takes a call in progress for an idle connection.
func TestProgressCountsRequestsWithoutAnswer(t *testing.T) {
	l := listenTracked(t)
	client := dial(t, l)
	server, err := l.Accept()
	assert.NilError(t, err)
	buffer := make([]byte, 10)
	for range 2 {
		_, err = io.WriteString(client, "request")
		assert.NilError(t, err)
		_, err = server.Read(buffer)
		assert.NilError(t, err)
		time.Sleep(5 * time.Millisecond)
		p := l.Progress()
		assert.Equal(t, p.Requests, 1)
		assert.Assert(t, p.Oldest >= 5*time.Millisecond)
		_, err = io.WriteString(server, "answer")
		assert.NilError(t, err)
		assert.NilError(t, server.SetReadDeadline(time.Now()))
		_, err = server.Read(buffer)
		assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded))
		assert.Equal(t, l.Progress().Requests, 0)
		assert.NilError(t, server.SetReadDeadline(time.Time{}))
	}
	before := cutRequests.Get()
	_, err = io.WriteString(client, "request")
	assert.NilError(t, err)
	_, err = server.Read(buffer)
	assert.NilError(t, err)
	assert.NilError(t, server.Close())
	assert.Equal(t, cutRequests.Get(), before+1)
	assert.DeepEqual(t, l.Progress(), Progress{})
}
