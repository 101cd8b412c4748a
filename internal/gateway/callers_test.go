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

// accepted returns a connection as the gateway sees it and the caller's end of it.
func accepted(t *testing.T) (*callerConns, *callerConn, net.Conn) {
	t.Helper()
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	conns := newCallerConns(l, func() routing.Limits { return routing.Limits{} })
	caller, err := net.Dial("tcp", l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = caller.Close() })
	c, err := conns.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = c.Close() })
	return conns, c.(*callerConn), caller
}

// A request that has been read keeps its connection, although net/http has not said yet
// that the connection is in use: a stop that looks at net/http's word closed it, once in
// a scored day, and the caller of a request that ran got no answer.
func TestAStopSparesAConnectionOnWhichARequestWasRead(t *testing.T) {
	g := NewWithT(t)
	conns, c, caller := accepted(t)
	conns.changed(c, http.StateIdle)
	_, err := io.WriteString(caller, "POST / HTTP/1.1\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	n, err := c.Read(make([]byte, 100))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(n).To(BeNumerically(">", 0))
	conns.retire()
	_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	_, err = caller.Read(make([]byte, 100))
	g.Expect(err).NotTo(HaveOccurred())
	// With its answer it becomes idle, and is closed.
	conns.changed(c, http.StateIdle)
	_, err = caller.Read(make([]byte, 100))
	g.Expect(err).To(MatchError(io.EOF))
}

// What comes on a connection that a stop has closed is not read.
func TestAStopClosesIdleConnections(t *testing.T) {
	g := NewWithT(t)
	conns, c, caller := accepted(t)
	conns.retire() // it has not been idle yet
	_, err := io.WriteString(caller, "POST / HTTP/1.1\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	_, err = c.Read(make([]byte, 100))
	g.Expect(err).NotTo(HaveOccurred())

	conns, c, caller = accepted(t)
	conns.changed(c, http.StateIdle)
	conns.retire()
	_, err = c.Read(make([]byte, 100))
	g.Expect(err).To(MatchError(net.ErrClosed))
	_, err = caller.Read(make([]byte, 100))
	g.Expect(err).To(HaveOccurred())

	conns.changed(c, http.StateClosed)
	g.Expect(conns.open).To(BeEmpty())
}

// A read that was under way when the connection was closed gives nothing to whoever
// waits for it.
func TestARetiredConnectionGivesNothing(t *testing.T) {
	g := NewWithT(t)
	_, c, caller := accepted(t)
	c.state.Store(connRetired)
	_, err := io.WriteString(caller, "POST / HTTP/1.1\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	n, err := c.Read(make([]byte, 100))
	g.Expect(n).To(BeZero())
	g.Expect(err).To(MatchError(net.ErrClosed))
}

// stopOnRead is a connection on which a stop begins just as bytes have been read.
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

// A request on a kept connection is either answered or never handled, when the stop
// begins between its reading and net/http's note of it. With net/http's
// SetKeepAlivesEnabled(false) in place of retire it is handled without an answer.
func TestARequestThatAStopOvertakesIsNotHandledWithoutAnswer(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	inner := &stoppingListener{Listener: l}
	conns := newCallerConns(inner, func() routing.Limits { return routing.Limits{} })
	var handled atomic.Int64
	server := &http.Server{ConnState: conns.changed,
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
	inner.last.stop, inner.last.on = conns.retire, true
	_, err = io.WriteString(caller, request)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = http.ReadResponse(answers, nil)
	if err != nil {
		g.Eventually(func() int { return len(openConns(conns)) }).Should(BeZero())
		g.Expect(handled.Load()).To(Equal(int64(1)), "the second request was handled without an answer")
	}
}

func openConns(conns *callerConns) []*callerConn {
	conns.mu.Lock()
	defer conns.mu.Unlock()
	return slices.Collect(maps.Keys(conns.open))
}
