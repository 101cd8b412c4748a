package exchange

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// connectTimeout bounds the opening of a connection. A backend server takes
	// about 1 ms, a lost SYN is sent again after 1 s; the bound lies well above
	// the first and well below the second, as another server may be tried.
	connectTimeout = 400 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged before the
	// connection counts as broken (TCP_USER_TIMEOUT). It bears the loss of a few
	// packets in a row and finds a host without power within two seconds.
	unackedTimeout = 1500 * time.Millisecond
	// keepAliveIdle, keepAliveEvery and keepAliveProbes find a silent host while
	// an answer is awaited: after 1 s + 3 x 0.5 s.
	keepAliveIdle   = time.Second
	keepAliveEvery  = 500 * time.Millisecond
	keepAliveProbes = 3
	// idleRepeatable is how long a kept connection may have been idle for a
	// request that may run again, unless the server names a shorter time.
	idleRepeatable = 4 * time.Second
	// idleOnce is the same for a request that may not: if the server drops the
	// connection just then, nobody can tell whether it ran. A new connection
	// costs 1 ms.
	idleOnce = 500 * time.Millisecond
	// closeMargin is taken off the time that a server announces, for the way of
	// the request.
	closeMargin = 300 * time.Millisecond
	// readBuffer is the size of a connection's read buffer in bytes; an event of
	// a stream has some hundred.
	readBuffer = 4 << 10
)

// Pool keeps idle connections to backend servers. It is safe for concurrent
// use.
type Pool struct {
	dial   Dial
	now    func() time.Time
	opened func()

	mu   sync.Mutex
	idle map[string][]*conn // by address, oldest first
}

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewPool returns an empty pool. opened is called for each new connection.
func NewPool(now func() time.Time, opened func()) *Pool {
	dialer := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle,
			Interval: keepAliveEvery, Count: keepAliveProbes},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var err error
			if ctlErr := raw.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			}); ctlErr != nil {
				return ctlErr
			}
			return err
		},
	}
	return NewPoolWithDialer(dialer.DialContext, now, opened)
}

// NewPoolOver is NewPool over another network.
func NewPoolWithDialer(dial Dial, now func() time.Time, opened func()) *Pool {
	bounded := func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, connectTimeout)
		defer cancel()
		return dial(ctx, network, address)
	}
	return &Pool{dial: bounded, now: now, opened: opened, idle: map[string][]*conn{}}
}

// get returns an idle connection that is still sound, or a new one.
func (p *Pool) get(ctx context.Context, address string, mayRepeat bool) (*conn, error) {
	for {
		c := p.take(address, mayRepeat)
		if c == nil {
			break
		}
		if c.sound() {
			return c, nil
		}
		c.close()
	}
	p.opened()
	raw, err := p.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, address: address, limit: &limited{Conn: raw, left: -1}}
	c.reader = bufio.NewReaderSize(c.limit, readBuffer)
	return c, nil
}

// take takes the connection that was used last, if it is fresh enough.
func (p *Pool) take(address string, mayRepeat bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c, now := list[len(list)-1], p.now()
	if now.After(c.until) || (!mayRepeat && now.Sub(c.idle) > idleOnce) {
		return nil
	}
	p.idle[address] = list[:len(list)-1]
	return c
}

// put keeps a connection for up to the time that its server announced.
func (p *Pool) put(c *conn, announced time.Duration) {
	keep := idleRepeatable
	if announced > 0 {
		keep = min(keep, announced-closeMargin)
	}
	if keep <= 0 {
		c.close()
		return
	}
	c.idle = p.now()
	c.until = c.idle.Add(keep)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Forget closes the idle connections to an address: the process behind them has ended,
// and a request sent on one of them might have run for all that anybody could tell.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		c.close()
	}
	delete(p.idle, address)
}

// Sweep closes connections that are too old to be used. It is called every
// second or so.
func (p *Pool) Sweep() {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.After(c.until) {
				c.close()
				continue
			}
			kept = append(kept, c)
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

// sound reports whether nothing has come on the idle connection: neither its
// end nor bytes that belong to no request.
func (c *conn) sound() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var (
		buf     [1]byte
		readErr error
	)
	err = raw.Read(func(fd uintptr) bool {
		_, readErr = syscall.Read(int(fd), buf[:])
		return true
	})
	return err == nil && (readErr == syscall.EAGAIN || readErr == syscall.EWOULDBLOCK)
}

// keepAlive returns the idle timeout that a server announces, 0 for none.
func keepAlive(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil && s > 0 {
			return time.Duration(s) * time.Second
		}
	}
	return 0
}
