package e2e

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// faultProxy is a TCP proxy that can delay, drop, close or reset the open
// connections, as a middlebox that loses its connection state does.
type faultProxy struct {
	ln        net.Listener
	target    string
	mu        sync.Mutex
	flows     map[*flow]bool
	delay     atomic.Int64 // nanoseconds before each read is forwarded
	acceptErr atomic.Pointer[error]
}

// acceptRetryDelay is the pause after a failed accept.
const acceptRetryDelay = 10 * time.Millisecond

// flow is a proxied connection.
type flow struct {
	caller, target             net.Conn
	dropToTarget, dropToCaller atomic.Bool
}

func newFaultProxy(address, target string) (*faultProxy, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &faultProxy{ln: ln, target: target, flows: map[*flow]bool{}}
	go p.accept()
	return p, nil
}

func (p *faultProxy) accept() {
	for {
		caller, err := p.ln.Accept()
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
			_ = caller.Close() // the caller sees that the target is down
			continue
		}
		f := &flow{caller: caller, target: target}
		p.mu.Lock()
		p.flows[f] = true
		p.mu.Unlock()
		go p.forward(f, caller, target, &f.dropToTarget)
		go p.forward(f, target, caller, &f.dropToCaller)
	}
}

// forward copies one direction of a connection. While drop is set it discards
// the data and also the close of the connection, so that neither side notices.
func (p *faultProxy) forward(f *flow, from, to net.Conn, drop *atomic.Bool) {
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
			p.closeFlow(f)
			return
		}
	}
}

func (p *faultProxy) closeFlow(f *flow) {
	_ = f.caller.Close() // may be closed already
	_ = f.target.Close() // may be closed already
	p.mu.Lock()
	delete(p.flows, f)
	p.mu.Unlock()
}

// openFlows returns the open connections.
func (p *faultProxy) openFlows() []*flow {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*flow
	for f := range p.flows {
		out = append(out, f)
	}
	return out
}

// blackhole drops all further data of the open connections in the given
// directions; new connections work.
func (p *faultProxy) blackhole(toTarget, toCaller bool) {
	for _, f := range p.openFlows() {
		f.dropToTarget.Store(toTarget)
		f.dropToCaller.Store(toCaller)
	}
}

// closeAll closes the open connections, possibly in the middle of a frame.
func (p *faultProxy) closeAll() {
	for _, f := range p.openFlows() {
		p.closeFlow(f)
	}
}

// resetAll resets the open connections on both sides; data in flight is lost.
func (p *faultProxy) resetAll() {
	for _, f := range p.openFlows() {
		for _, conn := range []net.Conn{f.caller, f.target} {
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // may be closed already
			}
		}
		p.closeFlow(f)
	}
}

func (p *faultProxy) address() string { return p.ln.Addr().String() }

func (p *faultProxy) close() {
	_ = p.ln.Close() // ends accept
	p.closeAll()
}

// cmdLinkFault implements
// "linkfault NAME blackhole|blackhole-in|blackhole-out|close|delay=50ms": it injects
// a fault into the links to the agent of a backend server (engine-0), or into the
// calls of that agent to the server (server:engine-0).
func cmdLinkFault(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 2, "linkfault NAME FAULT")
	p := scenarioOf(ts).c.proxies[args[0]]
	if p == nil {
		ts.Fatalf("links to %q are not proxied (start the cluster with proxied=true)", args[0])
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
