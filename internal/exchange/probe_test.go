package exchange

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against mistaking an exiting process that accepts a last connection for a running one, and the reverse.
func TestProbeDistinguishesExitedFromRunningProcesses(t *testing.T) {
	refused, reset := syscall.ECONNREFUSED, syscall.ECONNRESET
	const opened, closed = syscall.Errno(0), syscall.EPIPE // a connection that stays open, or is closed by the peer
	for _, c := range []struct {
		name  string
		dials []syscall.Errno
		want  bool
	}{
		{"refused", []syscall.Errno{refused}, true},
		{"closed while it exits", []syscall.Errno{closed, refused}, true},
		{"reset while it exits", []syscall.Errno{reset, refused}, true},
		{"running", []syscall.Errno{opened}, false},
		{"running, with too many connections", []syscall.Errno{closed, closed}, false},
		{"closed, then replaced", []syscall.Errno{closed, opened}, false},
		{"unreachable", []syscall.Errno{syscall.EHOSTUNREACH}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			dials := c.dials
			pool := NewPoolWithDialer(func(context.Context, string, string) (net.Conn, error) {
				result := dials[0]
				dials = dials[1:]
				client, server := net.Pipe()
				t.Cleanup(func() { _ = server.Close() })
				switch result {
				case opened:
					return client, nil
				case closed:
					_ = server.Close()
					return client, nil
				}
				return nil, &net.OpError{Op: "dial", Err: result}
			}, time.Now, func() {})
			NewWithT(t).Expect(pool.RefusesConnections(context.Background(), "10.0.0.1:80")).To(Equal(c.want))
			NewWithT(t).Expect(dials).To(BeEmpty())
		})
	}
}
