package gateway

import (
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/routing"
)

const (
	// defaultHeaderTimeout and defaultIdleTimeout apply if the configuration sets no
	// time-outs.
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	// maxHeaderBytes is the hard limit on the size of a request's headers. The limits
	// in configurations are lower, at 16 KB.
	maxHeaderBytes = 64 << 10
	// maxTotalBodyBytes limits the total size of the request bodies in memory. It is a
	// quarter of the smallest host's 184 MB; the rest is for connections and responses.
	maxTotalBodyBytes = 46 << 20
)

// callerListener tracks the open connections of callers. On shutdown it closes idle
// connections at once and the others when they become idle. net/http's own shutdown
// checks a connection's state and closes it in two steps, so that it may close a
// connection on which a request has just been read: the request is then forwarded to a
// backend server while its caller gets no response.
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
	caller := &callerConn{Conn: c, listener: l}
	l.mu.Lock()
	l.openConns[caller] = struct{}{}
	l.mu.Unlock()
	return caller, nil
}

// closeIdle closes all idle connections, and from then on each connection that becomes idle.
func (l *callerListener) closeIdle() {
	l.mu.Lock()
	l.draining = true
	open := slices.Collect(maps.Keys(l.openConns))
	l.mu.Unlock()
	for _, c := range open {
		c.closeIfIdle()
	}
}

// onStateChange is the http.Server.ConnState hook.
func (l *callerListener) onStateChange(c net.Conn, state http.ConnState) {
	caller, ok := c.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		caller.state.Store(connIdle)
		caller.keptAlive.Store(true)
		l.mu.Lock()
		draining := l.draining
		l.mu.Unlock()
		if draining {
			caller.closeIfIdle()
		}
	case http.StateClosed, http.StateHijacked:
		l.mu.Lock()
		delete(l.openConns, caller)
		l.mu.Unlock()
	}
}

// States of a caller's connection.
const (
	connBusy   int32 = iota // new, or a request is being read or in progress
	connIdle                // kept alive after a response, and nothing has been read since
	connClosed              // closed by the gateway while idle: reads return no data
)

// callerConn replaces the fixed read deadlines that net/http sets by those of the
// active configuration, and tracks whether anything was read since it became idle.
type callerConn struct {
	net.Conn
	listener  *callerListener
	state     atomic.Int32
	keptAlive atomic.Bool // the next read deadline is the idle time-out
}

// Read implements net.Conn. Reading the first bytes after an idle period and closeIfIdle
// exclude each other: either the request is read and the connection stays open, or the
// connection is closed and the request is not read.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.state.CompareAndSwap(connIdle, connBusy) && c.state.Load() == connClosed {
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *callerConn) closeIfIdle() {
	if c.state.CompareAndSwap(connIdle, connClosed) {
		_ = c.Conn.Close() // the connection is discarded whether or not this fails
	}
}

// SetReadDeadline implements net.Conn. net/http sets a deadline in the future
// when a connection becomes idle and when it starts to read request headers.
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

// checkHeaderSize returns an error if the request line and headers are larger than the limit; a limit of 0 or less is ignored.
func checkHeaderSize(r *http.Request, limit int) error {
	if limit <= 0 {
		return nil
	}
	const perHeader = len(": \r\n")
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + perHeader
		}
	}
	if size > limit {
		return fault.New(fault.HeadersTooLarge, "the request headers exceed %d bytes", limit).WithField("header").WithOutcome(fault.NotRun)
	}
	return nil
}

// mustClose reports whether the connection must be closed after this request. For a
// chunked request, net/http does not tell whether it also had a Content-Length; if it
// had, what follows on the connection may be a smuggled request.
func mustClose(r *http.Request) bool { return len(r.TransferEncoding) > 0 }
