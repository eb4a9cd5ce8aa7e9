package ephttp

import (
	"bufio"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/ports"
)

// fixedServer answers every request with a fixed response.
type fixedServer struct {
	net.Listener
	response string
}

func (s fixedServer) runAccept() {
	for {
		conn, err := s.Accept()
		if err != nil {
			return
		}
		go s.runConn(conn)
	}
}

func (s fixedServer) runConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var req fasthttp.Request
	for req.Read(reader) == nil {
		if _, err := conn.Write([]byte(s.response)); err != nil {
			return
		}
	}
}

// TestAnswers guards against accepting an answer or a refusal that belongs to another attempt or may be incomplete, and
// against treating an application's own status as a refusal.
func TestAnswers(t *testing.T) {
	tests := []struct {
		name   string
		text   string
		want   error
		status int
		busy   int
	}{
		{"complete answer", "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nBusy-Slots: 5\r\nContent-Length: 2\r\n\r\nok", nil, 200, 5},
		{"empty", "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nContent-Length: 0\r\n\r\n", nil, 200, 0},
		{"application's own status", "HTTP/1.1 503 Later\r\nAttempt-Id: a1\r\nContent-Length: 0\r\n\r\n", nil, 503, 0},
		{"negative busy", "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nBusy-Slots: -3\r\nContent-Length: 0\r\n\r\n", nil, 200, 0},
		{"busy", "HTTP/1.1 429 Busy\r\nAttempt-Id: a1\r\nBusy-Slots: 8\r\nContent-Length: 0\r\n\r\n", ports.ErrBusy, 429, 8},
		{"leaving", "HTTP/1.1 503 No\r\nAttempt-Id: a1\r\nLeaving: true\r\nContent-Length: 0\r\n\r\n", ports.ErrLeaving, 503, 0},
		{"connections", "HTTP/1.1 503 No\r\nAttempt-Id: a1\r\nRefused: connections\r\nContent-Length: 0\r\n\r\n", ports.ErrBusy, 503, 0},
		{"other attempt", "HTTP/1.1 200 OK\r\nAttempt-Id: a2\r\nContent-Length: 2\r\n\r\nok", ports.ErrNoAnswer, 0, 0},
		{"refusal of another attempt", "HTTP/1.1 429 Busy\r\nAttempt-Id: a2\r\nContent-Length: 0\r\n\r\n", ports.ErrNoAnswer, 0, 0},
		{"refusal, no attempt ID", "HTTP/1.1 503 No\r\nLeaving: true\r\nContent-Length: 0\r\n\r\n", ports.ErrNoAnswer, 0, 0},
		{"length unknown", "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", ports.ErrNoAnswer, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			t.Cleanup(func() { _ = listener.Close() })
			go fixedServer{listener, test.text}.runAccept()
			client, err := New(Config{})
			assert.NilError(t, err)
			answer, err := client.Send(t.Context(), ports.Call{
				Address: listener.Addr().String(), Attempt: "a1", Body: []byte("x"), Timeout: 5 * time.Second,
			})
			assert.ErrorIs(t, err, test.want)
			assert.Equal(t, answer.Status, test.status)
			assert.Equal(t, answer.Busy, test.busy)
		})
	}
}

// TestSetMaxConnections guards against a limit that applies only to endpoints first used before the change, or only to
// those first used after it.
func TestSetMaxConnections(t *testing.T) {
	client, err := New(Config{MaxConnections: 20})
	assert.NilError(t, err)
	before, err := client.pool("127.0.0.1:1")
	assert.NilError(t, err)
	client.SetMaxConnections(7)
	after, err := client.pool("127.0.0.1:2")
	assert.NilError(t, err)
	assert.Equal(t, before.MaxConnections(), 7)
	assert.Equal(t, after.MaxConnections(), 7)
	client.SetMaxConnections(0)
	assert.Equal(t, before.MaxConnections(), 1)
}

// TestInvalidConfig guards against accepting an unusable configuration.
func TestInvalidConfig(t *testing.T) {
	_, err := New(Config{MaxConnections: -1})
	assert.ErrorIs(t, err, ErrConfig)
}
