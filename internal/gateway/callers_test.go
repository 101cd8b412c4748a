package gateway

import (
	"bufio"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/merlinpost/merlinpost/internal/routing"
)

// acceptConn returns a listener, a connection that it has accepted, and the caller's end of the connection.
func acceptConn(t *testing.T) (*callerListener, *callerConn, net.Conn) {
	t.Helper()
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	conns := newCallerListener(l, func() routing.Limits { return routing.Limits{} })
	caller, err := net.Dial("tcp", l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = caller.Close() })
	c, err := conns.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = c.Close() })
	return conns, c.(*callerConn), caller
}

// Guards against closing a connection on which a request has been read but which net/http
// still reports as idle. Shutdown by net/http's connection state closed such a connection
// once in a scored day, so that the caller of a request that ran got no response.
func TestShutdownKeepsConnectionWithReadRequest(t *testing.T) {
	g := NewWithT(t)
	conns, c, caller := acceptConn(t)
	conns.onStateChange(c, http.StateIdle)
	_, err := io.WriteString(caller, "POST / HTTP/1.1\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	n, err := c.Read(make([]byte, 100))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(n).To(BeNumerically(">", 0))
	conns.closeIdle()
	_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	_, err = caller.Read(make([]byte, 100))
	g.Expect(err).NotTo(HaveOccurred())
	// After the response, the connection becomes idle and is closed.
	conns.onStateChange(c, http.StateIdle)
	_, err = caller.Read(make([]byte, 100))
	g.Expect(err).To(MatchError(io.EOF))
}

// Shutdown closes idle connections, and later reads from them return no data.
func TestShutdownClosesIdleConnections(t *testing.T) {
	g := NewWithT(t)
	conns, c, caller := acceptConn(t)
	conns.closeIdle() // a new connection is not idle
	_, err := io.WriteString(caller, "POST / HTTP/1.1\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	_, err = c.Read(make([]byte, 100))
	g.Expect(err).NotTo(HaveOccurred())

	conns, c, caller = acceptConn(t)
	conns.onStateChange(c, http.StateIdle)
	conns.closeIdle()
	_, err = c.Read(make([]byte, 100))
	g.Expect(err).To(MatchError(net.ErrClosed))
	_, err = caller.Read(make([]byte, 100))
	g.Expect(err).To(HaveOccurred())

	conns.onStateChange(c, http.StateClosed)
	g.Expect(conns.openConns).To(BeEmpty())
}

// A read that was in progress when the gateway closed the connection returns no data.
func TestReadOnClosedConnectionReturnsNoData(t *testing.T) {
	g := NewWithT(t)
	_, c, caller := acceptConn(t)
	c.state.Store(connClosed)
	_, err := io.WriteString(caller, "POST / HTTP/1.1\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	n, err := c.Read(make([]byte, 100))
	g.Expect(n).To(BeZero())
	g.Expect(err).To(MatchError(net.ErrClosed))
}

// stopOnRead is a connection that calls stop, if on is set, when bytes have been read.
type stopOnRead struct {
	net.Conn
	stop func()
	on   bool
}

func (c *stopOnRead) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.on {
		c.stop()
	}
	return n, err
}

type stoppingListener struct {
	net.Listener
	last *stopOnRead
}

func (l *stoppingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.last = &stopOnRead{Conn: c}
	return l.last, nil
}

// Guards against handling a request without sending its response, when shutdown begins after
// the request on a kept-alive connection has been read and before net/http marks the connection
// as active. This happens with net/http's SetKeepAlivesEnabled(false) in place of closeIdle.
func TestRequestReadDuringShutdownIsAnsweredOrNotHandled(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	inner := &stoppingListener{Listener: l}
	conns := newCallerListener(inner, func() routing.Limits { return routing.Limits{} })
	var handled atomic.Int64
	server := &http.Server{ConnState: conns.onStateChange,
		Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled.Add(1) })}
	go func() { _ = server.Serve(conns) }()
	t.Cleanup(func() { _ = server.Close() })

	caller, err := net.Dial("tcp", l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = caller.Close() })
	const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	_, err = io.WriteString(caller, request)
	g.Expect(err).NotTo(HaveOccurred())
	answers := bufio.NewReader(caller)
	_, err = http.ReadResponse(answers, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(func() bool { return openConns(conns)[0].state.Load() == connIdle }).Should(BeTrue())
	inner.last.stop, inner.last.on = conns.closeIdle, true
	_, err = io.WriteString(caller, request)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = http.ReadResponse(answers, nil)
	if err != nil {
		g.Eventually(func() int { return len(openConns(conns)) }).Should(BeZero())
		g.Expect(handled.Load()).To(Equal(int64(1)), "the second request was handled without a response")
	}
}

func openConns(conns *callerListener) []*callerConn {
	conns.mu.Lock()
	defer conns.mu.Unlock()
	return slices.Collect(maps.Keys(conns.openConns))
}
