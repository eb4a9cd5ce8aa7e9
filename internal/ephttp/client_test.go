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

// raw answers every request on a connection with a fixed text.
type raw struct {
	net.Listener
	text string
}

func (r raw) runAccept() {
	for {
		conn, err := r.Accept()
		if err != nil {
			return
		}
		go r.runConn(conn)
	}
}

func (r raw) runConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var req fasthttp.Request
	for req.Read(reader) == nil {
		if _, err := conn.Write([]byte(r.text)); err != nil {
			return
		}
	}
}

// TestAnswers guards against trusting an answer or a refusal that belongs to another attempt or may not be whole, and
// against taking an application's own status for a refusal.
func TestAnswers(t *testing.T) {
	tests := []struct {
		name   string
		text   string
		want   error
		status int
		busy   int
	}{
		{"whole", "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nBusy-Slots: 5\r\nContent-Length: 2\r\n\r\nok", nil, 200, 5},
		{"empty", "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nContent-Length: 0\r\n\r\n", nil, 200, 0},
		{"own status", "HTTP/1.1 503 Later\r\nAttempt-Id: a1\r\nContent-Length: 0\r\n\r\n", nil, 503, 0},
		{"strange busy slots", "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nBusy-Slots: -3\r\nContent-Length: 0\r\n\r\n", nil, 200, 0},
		{"busy", "HTTP/1.1 429 Busy\r\nAttempt-Id: a1\r\nBusy-Slots: 8\r\nContent-Length: 0\r\n\r\n", ports.ErrBusy, 429, 8},
		{"leaving", "HTTP/1.1 503 No\r\nAttempt-Id: a1\r\nLeaving: true\r\nContent-Length: 0\r\n\r\n", ports.ErrLeaving, 503, 0},
		{"connections", "HTTP/1.1 503 No\r\nAttempt-Id: a1\r\nRefused: connections\r\nContent-Length: 0\r\n\r\n", ports.ErrBusy, 503, 0},
		{"other attempt", "HTTP/1.1 200 OK\r\nAttempt-Id: a2\r\nContent-Length: 2\r\n\r\nok", ports.ErrNoAnswer, 0, 0},
		{"refusal of another attempt", "HTTP/1.1 429 Busy\r\nAttempt-Id: a2\r\nContent-Length: 0\r\n\r\n", ports.ErrNoAnswer, 0, 0},
		{"refusal of a stranger", "HTTP/1.1 503 No\r\nLeaving: true\r\nContent-Length: 0\r\n\r\n", ports.ErrNoAnswer, 0, 0},
		{"length unknown", "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", ports.ErrNoAnswer, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			t.Cleanup(func() { _ = listener.Close() })
			go raw{listener, test.text}.runAccept()
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

// TestSetConnections guards against a limit that holds only for endpoints that were used before or after the change.
func TestSetConnections(t *testing.T) {
	client, err := New(Config{Connections: 20})
	assert.NilError(t, err)
	before, err := client.pool("127.0.0.1:1")
	assert.NilError(t, err)
	client.SetConnections(7)
	after, err := client.pool("127.0.0.1:2")
	assert.NilError(t, err)
	assert.Equal(t, before.Connections(), 7)
	assert.Equal(t, after.Connections(), 7)
	client.SetConnections(0)
	assert.Equal(t, before.Connections(), 1)
}

// TestBadConfig guards against a configuration that can't work.
func TestBadConfig(t *testing.T) {
	_, err := New(Config{Connections: -1})
	assert.ErrorIs(t, err, ErrBadConfig)
}
