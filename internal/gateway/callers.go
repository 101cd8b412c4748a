package gateway

import (
	"net"
	"net/http"
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

// callerListener wraps accepted connections, so that the time limits of the
// configuration in force apply to them from the next request on.
type callerListener struct {
	net.Listener
	limits func() routing.Limits
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c, limits: l.limits}, nil
}

// callerConn replaces the fixed read deadlines that net/http sets by those of
// the configuration in force.
type callerConn struct {
	net.Conn
	limits func() routing.Limits
	idle   atomic.Bool
}

// SetReadDeadline implements net.Conn. net/http sets a deadline in the future
// when a connection becomes idle and when it begins to read a head.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	now := time.Now()
	if t.IsZero() || !t.After(now) {
		return c.Conn.SetReadDeadline(t)
	}
	limits := c.limits()
	bound := orDefault(limits.HeaderTimeout, defaultHeaderTimeout)
	if c.idle.CompareAndSwap(true, false) {
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

// connState is net/http's hook for changes of a connection's state.
func connState(c net.Conn, state http.ConnState) {
	if caller, ok := c.(*callerConn); ok {
		caller.idle.Store(state == http.StateIdle)
	}
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
		return fault.New(fault.HeadTooLarge, "the head has more than %d bytes", limit).InField("header").With(fault.NotRun)
	}
	return nil
}

// closeAfter reports whether the connection must end with this request. Of a
// request in chunks net/http does not tell whether it also had a length; if it
// had, what follows may have been smuggled inside it.
func closeAfter(r *http.Request) bool { return len(r.TransferEncoding) > 0 }
