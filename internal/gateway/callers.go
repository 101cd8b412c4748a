package gateway

import (
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/responseguard"
	"github.com/merlinpost/merlinpost/internal/routing"
)

const (
	// defaultHeaderTimeout and defaultIdleTimeout apply if the configuration sets no
	// timeouts.
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	// maxHeaderBytes is the limit on the size of a request's headers that net/http
	// enforces. The limit in configurations is lower, at 16 KB.
	maxHeaderBytes = 64 << 10
)

// callerListener tracks the open connections of callers. On shutdown it closes idle
// connections at once and the others when they become idle.
//
// It is used in place of net/http's own shutdown, which does not check a connection's
// state and close it in one atomic step. net/http may close a connection on which a
// request has just been read; the request is then forwarded to a backend server, but its
// caller gets no response.
type callerListener struct {
	net.Listener
	limits func() routing.Limits

	mu        sync.Mutex
	openConns map[*callerConn]struct{}
	draining  bool
}

func newCallerListener(l net.Listener, limits func() routing.Limits) *callerListener {
	return &callerListener{Listener: l, limits: limits, openConns: map[*callerConn]struct{}{}}
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &callerConn{Conn: c, listener: l, acceptedAt: time.Now()}
	l.mu.Lock()
	l.openConns[conn] = struct{}{}
	l.mu.Unlock()
	return conn, nil
}

// closeIdle closes all idle connections, and from then on each connection that becomes idle.
func (l *callerListener) closeIdle() {
	l.mu.Lock()
	l.draining = true
	open := slices.Collect(maps.Keys(l.openConns))
	l.mu.Unlock()
	for _, c := range open {
		c.closeIf(connIdle)
	}
}

// unusedConnTime is how long a connection on which nothing has been received stays open once no new connections are
// accepted. Callers send their first request at once, unless they open connections for later use.
const unusedConnTime = 500 * time.Millisecond

// closeUnused closes the connections that were opened unusedConnTime ago or earlier and on which nothing has been
// received.
func (l *callerListener) closeUnused(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.openConns {
		if now.Sub(c.acceptedAt) >= unusedConnTime {
			c.closeIf(connUnused)
		}
	}
}

// anyInUse reports whether a request is being received or answered on any connection.
func (l *callerListener) anyInUse() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.openConns {
		if c.state.Load() == connBusy {
			return true
		}
	}
	return false
}

// onStateChange is the ConnState hook of the http.Server.
func (l *callerListener) onStateChange(c net.Conn, state http.ConnState) {
	conn, ok := c.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		conn.state.Store(connIdle)
		conn.keptAlive.Store(true)
		l.mu.Lock()
		draining := l.draining
		l.mu.Unlock()
		if draining {
			conn.closeIf(connIdle)
		}
	case http.StateClosed, http.StateHijacked:
		l.mu.Lock()
		delete(l.openConns, conn)
		l.mu.Unlock()
	}
}

// States of a caller's connection.
const (
	connUnused int32 = iota // new; nothing has been read
	connBusy                // a request is being read or in progress
	connIdle                // kept alive after a response; nothing has been read since
	connClosed              // closed by the gateway while idle; reads return no data
)

// callerConn is a caller's connection. It replaces the fixed read deadlines that net/http
// sets by those of the active configuration, and tracks whether any data has been read
// since the connection became idle.
type callerConn struct {
	net.Conn
	listener   *callerListener
	acceptedAt time.Time
	state      atomic.Int32
	keptAlive  atomic.Bool // the next read deadline is the idle timeout
	requests   atomic.Int64
	// drainOnClose makes Close discard what the caller still sends, as closing a connection with unread data resets it
	// and may destroy the response.
	drainOnClose atomic.Bool
}

type callerConnKey struct{}

// connContext makes the connection available to callerConnOf. It is meant for http.Server.ConnContext.
func connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(responseguard.ConnContext(ctx, c), callerConnKey{}, c)
}

// callerConnOf returns the connection on which a request was received, or nil if it is not a callerConn.
func callerConnOf(r *http.Request) *callerConn {
	c, _ := r.Context().Value(callerConnKey{}).(*callerConn)
	return c
}

// Read implements net.Conn. The first read on a connection or after an idle period and closeIf
// are mutually exclusive: either the request is read and the connection stays open, or the
// connection is closed and the request is not read.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.state.CompareAndSwap(connIdle, connBusy) && !c.state.CompareAndSwap(connUnused, connBusy) && c.state.Load() == connClosed {
		return 0, net.ErrClosed
	}
	return n, err
}

const (
	// drainTime and maxDrainBytes limit how long Close waits for the caller to close the connection, and how much it
	// discards meanwhile.
	drainTime     = 500 * time.Millisecond
	maxDrainBytes = 4 << 20
)

// Close implements net.Conn.
func (c *callerConn) Close() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok && c.drainOnClose.Swap(false) && conn.CloseWrite() == nil &&
		c.Conn.SetReadDeadline(time.Now().Add(drainTime)) == nil {
		_, _ = io.CopyN(io.Discard, c.Conn, maxDrainBytes) // whatever ends it, the connection is closed
	}
	return c.Conn.Close()
}

// SetLinger sets SO_LINGER, like net.TCPConn. Connections without it end with an orderly close.
func (c *callerConn) SetLinger(seconds int) error {
	conn, ok := c.Conn.(interface{ SetLinger(int) error })
	if !ok {
		return errors.ErrUnsupported
	}
	return conn.SetLinger(seconds)
}

// closeIf closes the connection if it is in the given state, which is connUnused or connIdle.
func (c *callerConn) closeIf(state int32) {
	if c.state.CompareAndSwap(state, connClosed) {
		_ = c.Conn.Close() // the connection is discarded whether or not this fails
	}
}

// SetReadDeadline implements net.Conn. net/http sets a future deadline when a connection
// becomes idle and when it starts to read request headers; these deadlines are replaced.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	now := time.Now()
	if t.IsZero() || !t.After(now) {
		return c.Conn.SetReadDeadline(t)
	}
	limits := c.listener.limits()
	timeout := orDefault(limits.HeaderTimeout, defaultHeaderTimeout)
	if c.keptAlive.CompareAndSwap(true, false) {
		timeout = orDefault(limits.IdleTimeout, defaultIdleTimeout)
	}
	return c.Conn.SetReadDeadline(now.Add(timeout))
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}

// limits returns the limits of the active configuration.
func (g *Gateway) limits() routing.Limits {
	if t := g.table.Load(); t != nil {
		return t.Limits
	}
	return routing.Limits{}
}

// checkHeaderSize returns an error if the request line and headers together exceed limit bytes. There is no limit if
// limit is 0 or less.
func checkHeaderSize(r *http.Request, limit int) error {
	if limit <= 0 {
		return nil
	}
	const overheadPerHeader = len(": \r\n")
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + overheadPerHeader
		}
	}
	if size > limit {
		return fault.New(fault.HeadersTooLarge, "the request headers exceed %d bytes", limit).WithField("header").WithOutcome(fault.NotRun)
	}
	return nil
}

// mustClose reports whether the connection must be closed after this request. net/http
// does not report whether a chunked request also had a Content-Length header. If it had,
// the data that follows on the connection may be a smuggled request.
func mustClose(r *http.Request) bool { return len(r.TransferEncoding) > 0 }
