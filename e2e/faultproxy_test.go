package e2e

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// faultProxy is a TCP proxy that injects faults into its open connections. It can drop their
// data, as a middlebox that has lost its connection state does, delay it, and close or reset the
// connections.
type faultProxy struct {
	ln        net.Listener
	target    string
	mu        sync.Mutex
	conns     map[*proxiedConn]bool
	delay     atomic.Int64 // nanoseconds before each read is forwarded
	acceptErr atomic.Pointer[error]
	// closedAt are the times of closeAll.
	closedAt []time.Time
}

// acceptRetryDelay is the pause after a failed accept.
const acceptRetryDelay = 10 * time.Millisecond

// proxiedConn is a client's connection and the corresponding connection to the target.
type proxiedConn struct {
	client, target             net.Conn
	dropToTarget, dropToClient atomic.Bool
}

func newFaultProxy(address, target string) (*faultProxy, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &faultProxy{ln: ln, target: target, conns: map[*proxiedConn]bool{}}
	go p.accept()
	return p, nil
}

func (p *faultProxy) accept() {
	for {
		client, err := p.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// Most likely the test process is out of file descriptors. Tests read
			// acceptErr, because results obtained through this proxy are then invalid.
			p.acceptErr.Store(&err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		target, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close() // the client sees that the target is unreachable
			continue
		}
		conn := &proxiedConn{client: client, target: target}
		p.mu.Lock()
		p.conns[conn] = true
		p.mu.Unlock()
		go p.forward(conn, client, target, &conn.dropToTarget)
		go p.forward(conn, target, client, &conn.dropToClient)
	}
}

// forward copies the data of one direction of a connection. While drop is set it discards the
// data and does not propagate the close of the connection, so that neither side notices
// the failure.
func (p *faultProxy) forward(conn *proxiedConn, from, to net.Conn, drop *atomic.Bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if d := time.Duration(p.delay.Load()); d > 0 && n > 0 {
			<-time.After(d)
		}
		if drop.Load() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			if errors.Is(err, syscall.ECONNRESET) {
				conn.resetOnClose() // a reset must not look like the regular end of a response
			}
			p.closeConn(conn)
			return
		}
	}
}

// resetOnClose makes the close of a connection reset both sides.
func (c *proxiedConn) resetOnClose() {
	for _, side := range []net.Conn{c.client, c.target} {
		if tcp, ok := side.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // may be closed already
		}
	}
}

func (p *faultProxy) closeConn(conn *proxiedConn) {
	_ = conn.client.Close() // may be closed already
	_ = conn.target.Close() // may be closed already
	p.mu.Lock()
	delete(p.conns, conn)
	p.mu.Unlock()
}

func (p *faultProxy) openConns() []*proxiedConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*proxiedConn
	for conn := range p.conns {
		out = append(out, conn)
	}
	return out
}

// blackhole drops all further data of the open connections in the given
// directions; new connections work.
func (p *faultProxy) blackhole(toTarget, toClient bool) {
	for _, conn := range p.openConns() {
		conn.dropToTarget.Store(toTarget)
		conn.dropToClient.Store(toClient)
	}
}

// closeAll closes the open connections, possibly in the middle of a frame.
func (p *faultProxy) closeAll() {
	p.mu.Lock()
	p.closedAt = append(p.closedAt, time.Now())
	p.mu.Unlock()
	for _, conn := range p.openConns() {
		p.closeConn(conn)
	}
}

// closedBetween reports whether closeAll was called between two times.
func (p *faultProxy) closedBetween(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.closedAt, func(t time.Time) bool { return t.After(from) && t.Before(to) })
}

// resetAll resets the open connections on both sides; data in flight is lost.
func (p *faultProxy) resetAll() {
	for _, conn := range p.openConns() {
		conn.resetOnClose()
		p.closeConn(conn)
	}
}

func (p *faultProxy) address() string { return p.ln.Addr().String() }

func (p *faultProxy) close() {
	_ = p.ln.Close() // terminates the accept loop
	p.closeAll()
}

// cmdLinkFault implements
// "linkfault NAME blackhole|blackhole-in|blackhole-out|close|delay=50ms": it injects
// a fault into the links to the agent of a backend server (engine-0), or into the
// calls of that agent to the server (server:engine-0).
func cmdLinkFault(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 2, "linkfault NAME FAULT")
	p := scenarioOf(ts).cluster.proxies[args[0]]
	if p == nil {
		ts.Fatalf("connections to %q are not proxied (start the cluster with proxied=true)", args[0])
	}
	switch args[1] {
	case "blackhole":
		p.blackhole(true, true)
	case "blackhole-in":
		p.blackhole(true, false)
	case "blackhole-out":
		p.blackhole(false, true)
	case "close":
		p.closeAll()
	default:
		var ms int
		if _, err := fmt.Sscanf(args[1], "delay=%dms", &ms); err != nil {
			ts.Fatalf("unknown link fault %q", args[1])
		}
		p.delay.Store(int64(ms) * int64(time.Millisecond))
	}
}
