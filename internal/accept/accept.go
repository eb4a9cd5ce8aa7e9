package accept

import (
	"errors"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// retryDelay is the pause after a connection that could not be accepted.
const retryDelay = 20 * time.Millisecond

var (
	// passing lists the errors that end once connections or memory are freed.
	passing = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED}
	// failedAccepts counts the connections that could not be accepted at the first try.
	failedAccepts = metrics.NewCounter(`aw_accept_failures_total`)
)

// Listen listens on an address (IP:port) for IPv4. The listener's Accept waits for as long as the process or the machine has no
// resources for a connection, where a server would take the error for a permanent one and end.
func Listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	return listener{l}, nil
}

type listener struct{ net.Listener }

// Accept returns the next connection, or an error that doesn't pass by itself.
func (l listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil || !slices.ContainsFunc(passing, func(p error) bool { return errors.Is(err, p) }) {
			return conn, err
		}
		failedAccepts.Inc()
		time.Sleep(retryDelay)
	}
}
