package soak

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"

	"arbutuswing.example/platform/fakes"
)

// caller makes one call after the other over a connection that it keeps open until the node closes it.
type caller struct {
	run    *restarts
	random *rand.Rand
	number int
	// patience is the deadline of each call; pause is the longest time between two calls.
	patience, pause time.Duration

	node   *node
	conn   net.Conn
	reader *bufio.Reader
	// calls is the number of calls on the connection.
	calls int
}

// httpCall is a call and what the caller does with its answer.
type httpCall struct {
	method, path, body string
	accepted           func()
}

func (c *caller) loop() {
	defer c.run.tasks.Done()
	defer c.disconnect()
	for count := 0; time.Now().Before(c.run.end); count++ {
		if !c.connected() && !c.connect() {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		c.make(c.next(count))
		time.Sleep(time.Duration(c.random.Int64N(int64(c.pause))))
	}
}

// connected reports whether the caller has a connection that the node hasn't closed.
func (c *caller) connected() bool {
	if c.conn == nil {
		return false
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.reader.Peek(1)
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return true
	}
	c.disconnect()
	return false
}

// connect opens a connection to a random node and reports whether that succeeded.
func (c *caller) connect() bool {
	c.node = c.run.nodes[c.random.IntN(len(c.run.nodes))]
	conn, err := net.DialTimeout("tcp4", c.node.address, time.Second)
	if err != nil {
		c.run.count("not connected")
		return false
	}
	c.conn, c.reader, c.calls = conn, bufio.NewReader(conn), 0
	return true
}

func (c *caller) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// next returns the next call: a count, a state, a submission, a cancellation, or one to a queue that doesn't exist.
func (c *caller) next(count int) httpCall {
	queue := queues[c.random.IntN(len(queues))]
	c.run.mu.Lock()
	id := "none"
	if n := len(c.run.known); n > 0 {
		id = c.run.known[c.random.IntN(n)]
	}
	c.run.mu.Unlock()
	switch n := c.random.IntN(100); {
	case n < 60:
		return httpCall{method: http.MethodGet, path: queue.Path}
	case n < 80:
		return httpCall{method: http.MethodGet, path: queue.Path + id}
	case n < 85:
		return httpCall{method: http.MethodGet, path: "/missing/" + id}
	case n < 97:
		// Nobody has submitted such a job.
		return httpCall{method: http.MethodDelete, path: queue.Path + fmt.Sprintf("absent%04x%04x", c.number, count)}
	default:
		return c.submission(queue, count)
	}
}

func (c *caller) submission(queue fakes.Queue, count int) httpCall {
	j := job{id: fmt.Sprintf("%04x%04x%08x", c.number, count, c.random.Uint32()), spec: randomJob(c.random, "job", 0)}
	j.spec.Advice = queue.Advice
	j.client = c.run.clients[slices.Index(queues, queue)]
	c.run.fleet.RegisterJob(j.id, j.spec)
	body, err := json.Marshal(j.spec)
	if err != nil {
		panic(err)
	}
	return httpCall{method: http.MethodPost, path: queue.Path + j.id, body: string(body), accepted: func() {
		c.run.deployment.mu.Lock()
		c.run.accepted = append(c.run.accepted, j)
		c.run.deployment.mu.Unlock()
		c.run.mu.Lock()
		c.run.known = append(c.run.known, j.id)
		c.run.mu.Unlock()
	}}
}

// make makes the call and records what has become of it.
func (c *caller) make(call httpCall) {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nRequest-Deadline: %d\r\nContent-Length: %d\r\n\r\n%s",
		call.method, call.path, queues[0].Host, teamKey, c.patience.Milliseconds(), len(call.body), call.body)
	c.calls++
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.run.count("not sent")
		c.disconnect()
		return
	}
	sent := time.Now()
	_ = c.conn.SetReadDeadline(sent.Add(c.patience + answerSlack))
	response, err := http.ReadResponse(c.reader, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	if err != nil {
		c.fail(call, time.Since(sent), err)
		c.disconnect()
		return
	}
	c.run.count(fmt.Sprintf("%s %d", call.method, response.StatusCode))
	if call.accepted != nil && response.StatusCode == http.StatusOK {
		call.accepted()
	}
	if response.Close {
		c.disconnect()
	}
}

// fail records a call whose connection ended, or whose deadline passed, without a complete answer.
func (c *caller) fail(call httpCall, age time.Duration, err error) {
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		c.run.count("unanswered")
	case age > lossSlack:
		c.run.count("cut")
		c.run.addViolation("%s %s was cut by %s %s after its last byte, %s after SIGTERM: %v", call.method, call.path, c.node.name,
			age, time.Since(c.node.lastStop()), err)
	default:
		c.run.mu.Lock()
		c.run.early = append(c.run.early, fmt.Sprintf("%s %s by %s after %s, %s after SIGTERM, call %d of its connection: %v", call.method,
			call.path, c.node.name, age, time.Since(c.node.lastStop()), c.calls, err))
		c.run.mu.Unlock()
	}
}
