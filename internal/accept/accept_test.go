package accept

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// scriptedListener returns the errors in order, and then a connection.
type scriptedListener struct {
	net.Listener
	errs []error
	conn net.Conn
}

func (l *scriptedListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		return l.conn, nil
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, err
}

// TestAcceptOutlastsLackOfDescriptors guards against a node that ends by itself because it has no descriptor left for one more
// connection.
func TestAcceptOutlastsLackOfDescriptors(t *testing.T) {
	lack := &net.OpError{Op: "accept", Net: "tcp4", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	tests := []struct {
		name string
		errs []error
		want error
	}{
		{"no error", nil, nil},
		{"no descriptors for a while", []error{lack, lack}, nil},
		{"closed", []error{lack, net.ErrClosed}, net.ErrClosed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			client, server := net.Pipe()
			defer client.Close()
			l := listener{&scriptedListener{errs: tt.errs, conn: server}}
			conn, err := l.Accept()
			assert.Assert(t, errors.Is(err, tt.want), "got %v", err)
			assert.Equal(t, conn == server, tt.want == nil)
		})
	}
}
