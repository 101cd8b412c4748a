package exchange

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// connectTimeout limits the time to open a connection. Connecting takes about
	// 1 ms, and a lost SYN is retransmitted after 1 s. The timeout is well between
	// the two, so that another server is tried instead of waiting for the
	// retransmission.
	connectTimeout = 400 * time.Millisecond
	// tcpUserTimeout (TCP_USER_TIMEOUT) is how long sent data may stay
	// unacknowledged before the connection is closed. It tolerates the loss of a
	// few packets in a row and detects a host that lost power within 2 s.
	tcpUserTimeout = 1500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveProbes are the TCP keep-alive
	// settings. They detect an unresponsive host while waiting for a response,
	// after 1 s + 3 x 0.5 s.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveProbes   = 3
	// maxIdleRepeatable is how long a connection may have been idle when it is
	// reused for a request that may be repeated. The server may announce a shorter
	// time.
	maxIdleRepeatable = 4 * time.Second
	// maxIdleNonRepeatable is the limit for a request that must not be repeated. If
	// the server closed the connection while the request was sent, it would be
	// unknown whether the request ran. A new connection takes only 1 ms.
	maxIdleNonRepeatable = 500 * time.Millisecond
	// keepAliveMargin is subtracted from the keep-alive timeout that a server
	// announces, to allow for the latency of the next request.
	keepAliveMargin = 300 * time.Millisecond
	// readBufferBytes is the size of a connection's read buffer. An event of a
	// stream has a few hundred bytes.
	readBufferBytes = 4 << 10
	// receiveBufferBytes (SO_RCVBUF) limits the data that the kernel holds for a
	// connection, which counts towards the memory of the process. The kernel
	// otherwise lets it grow to several MB while a caller reads slowly.
	receiveBufferBytes = 64 << 10
)

// Pool sends requests to backend servers and reuses idle connections. It is safe
// for concurrent use.
type Pool struct {
	dial   Dial
	now    func() time.Time
	onDial func()

	mu   sync.Mutex
	idle map[string][]*conn // by address, oldest first
}

// Dial opens a connection, like net.Dialer.DialContext.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewPool returns an empty pool that opens TCP connections. onDial is called
// before each attempt to connect.
func NewPool(now func() time.Time, onDial func()) *Pool {
	dialer := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle,
			Interval: keepAliveInterval, Count: keepAliveProbes},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var err error
			if ctlErr := raw.Control(func(fd uintptr) {
				err = errors.Join(unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds())),
					unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes))
			}); ctlErr != nil {
				return ctlErr
			}
			return err
		},
	}
	return NewPoolWithDialer(dialer.DialContext, now, onDial)
}

// NewPoolWithDialer returns an empty pool that opens connections with dial,
// within connectTimeout.
func NewPoolWithDialer(dial Dial, now func() time.Time, onDial func()) *Pool {
	bounded := func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, connectTimeout)
		defer cancel()
		return dial(ctx, network, address)
	}
	return &Pool{dial: bounded, now: now, onDial: onDial, idle: map[string][]*conn{}}
}

// lastConnID is the ID of the connection that was opened last.
var lastConnID atomic.Uint64

// get returns a usable idle connection or opens a new one.
func (p *Pool) get(ctx context.Context, address string, req *Request) (*conn, error) {
	for {
		c := p.takeIdle(address, req)
		if c == nil {
			break
		}
		if c.healthy() {
			return c, nil
		}
		c.close()
	}
	p.onDial()
	raw, err := p.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newConn(raw, address), nil
}

func newConn(raw net.Conn, address string) *conn {
	c := &conn{Conn: raw, id: lastConnID.Add(1), address: address, overhead: &overheadLimiter{Conn: raw}}
	c.reader = bufio.NewReaderSize(c.overhead, readBufferBytes)
	return c
}

// takeIdle removes and returns the most recently used idle connection to an
// address that the request may use, or nil if there is none.
func (p *Pool) takeIdle(address string, req *Request) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list, now := p.idle[address], p.now()
	for i := len(list) - 1; i >= 0; i-- {
		c := list[i]
		if now.After(c.reusableUntil) || (!req.MayRepeat && now.Sub(c.idleSince) > maxIdleNonRepeatable) {
			return nil
		}
		if req.reusable(c) {
			p.idle[address] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// putIdle returns a connection to the pool. serverTimeout is the keep-alive
// timeout that the server announced, 0 for none.
func (p *Pool) putIdle(c *conn, serverTimeout time.Duration) {
	keep := maxIdleRepeatable
	if serverTimeout > 0 {
		keep = min(keep, serverTimeout-keepAliveMargin)
	}
	if keep <= 0 {
		c.close()
		return
	}
	c.idleSince = p.now()
	c.reusableUntil = c.idleSince.Add(keep)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.address] = append(p.idle[c.address], c)
}

// CloseIdle closes the idle connections to an address. It is called when the
// server's process is known to have ended: if a request were sent on such a
// connection, it would be unknown whether the request ran.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		c.close()
	}
	delete(p.idle, address)
}

// Sweep closes idle connections that have expired, or on which a server has sent data after its response. It must be
// called about once per second.
func (p *Pool) Sweep() {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.After(c.reusableUntil) || !c.healthy() {
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

// healthy reports whether an idle connection is still open and no data has
// arrived on it. It does not block.
func (c *conn) healthy() bool {
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

// keepAliveTimeout returns the timeout that a server announces in the Keep-Alive
// header, 0 for none.
func keepAliveTimeout(h http.Header) time.Duration {
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
