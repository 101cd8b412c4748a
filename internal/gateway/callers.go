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
	// defaultHeaderTimeout and defaultIdleTimeout bound callers where the
	// configuration does not.
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	// maxHeaderBytes is what is read of a request's head whatever the
	// configuration allows; configurations ask for 16 KB.
	maxHeaderBytes = 64 << 10
	// maxBodies bounds the bodies that are held at once, in bytes: a quarter of
	// the smallest host's 184 MB, beside connections and answers.
	maxBodies = 46 << 20
)

// callerConns are the open connections of callers. A stop closes those that are idle,
// and the others when they become so. net/http's own way of doing this may close a
// connection on which it has just read a request: it looks at the connection's state and
// closes it in two steps, and the request is then passed on to a backend server while its
// caller gets no answer.
type callerConns struct {
	net.Listener
	limits func() routing.Limits

	mu       sync.Mutex
	open     map[*callerConn]struct{}
	retiring bool
}

func newCallerConns(l net.Listener, limits func() routing.Limits) *callerConns {
	return &callerConns{Listener: l, limits: limits, open: map[*callerConn]struct{}{}}
}

// Accept implements net.Listener.
func (l *callerConns) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	caller := &callerConn{Conn: c, owner: l}
	l.mu.Lock()
	l.open[caller] = struct{}{}
	l.mu.Unlock()
	return caller, nil
}

// retire closes the idle connections, and from now on each that becomes idle.
func (l *callerConns) retire() {
	l.mu.Lock()
	l.retiring = true
	open := slices.Collect(maps.Keys(l.open))
	l.mu.Unlock()
	for _, c := range open {
		c.closeIfIdle()
	}
}

// changed is net/http's hook for changes of a connection's state.
func (l *callerConns) changed(c net.Conn, state http.ConnState) {
	caller, ok := c.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		caller.state.Store(connIdle)
		caller.keptAlive.Store(true)
		l.mu.Lock()
		retiring := l.retiring
		l.mu.Unlock()
		if retiring {
			caller.closeIfIdle()
		}
	case http.StateClosed, http.StateHijacked:
		l.mu.Lock()
		delete(l.open, caller)
		l.mu.Unlock()
	}
}

// The states of a caller's connection.
const (
	connBusy    int32 = iota // a request is expected, being read or in progress
	connIdle                 // kept after an answer, and nothing was read since
	connRetired              // closed by us while idle: nothing that comes is read
)

// callerConn replaces the fixed read deadlines that net/http sets by those of
// the configuration in force, and knows whether anything was read since it became idle.
type callerConn struct {
	net.Conn
	owner     *callerConns
	state     atomic.Int32
	keptAlive atomic.Bool // the next read deadline is that of an idle connection
}

// Read implements net.Conn. The first bytes after an idle time and closeIfIdle exclude
// each other: either the request is read and the connection stays, or it is closed and
// the request was never read.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.state.CompareAndSwap(connIdle, connBusy) && c.state.Load() == connRetired {
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *callerConn) closeIfIdle() {
	if c.state.CompareAndSwap(connIdle, connRetired) {
		_ = c.Conn.Close() // what it held is of no use to anybody
	}
}

// SetReadDeadline implements net.Conn. net/http sets a deadline in the future
// when a connection becomes idle and when it begins to read a head.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	now := time.Now()
	if t.IsZero() || !t.After(now) {
		return c.Conn.SetReadDeadline(t)
	}
	limits := c.owner.limits()
	bound := orDefault(limits.HeaderTimeout, defaultHeaderTimeout)
	if c.keptAlive.CompareAndSwap(true, false) {
		bound = orDefault(limits.IdleTimeout, defaultIdleTimeout)
	}
	return c.Conn.SetReadDeadline(now.Add(bound))
}

func orDefault(d, otherwise time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return otherwise
}

// limits returns the limits of the configuration in force.
func (g *Gateway) limits() routing.Limits {
	if t := g.table.Load(); t != nil {
		return t.Limits
	}
	return routing.Limits{}
}

// checkHead refuses a head that is larger than the configuration allows.
func checkHead(r *http.Request, limit int) error {
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
		return fault.New(fault.HeadersTooLarge, "the head has more than %d bytes", limit).WithField("header").WithOutcome(fault.NotRun)
	}
	return nil
}

// closeAfter reports whether the connection must end with this request. Of a
// request in chunks net/http does not tell whether it also had a length; if it
// had, what follows may have been smuggled inside it.
func closeAfter(r *http.Request) bool { return len(r.TransferEncoding) > 0 }
