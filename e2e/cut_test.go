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

// cutter passes connections on to a target and can lose track of the open
// ones, as a middlebox between two hosts does.
type cutter struct {
	ln     net.Listener
	target string
	mu     sync.Mutex
	flows  map[*flow]bool
	delay  atomic.Int64 // nanoseconds added to each piece
	failed atomic.Pointer[error]
}

// acceptAgain is the pause after a connection could not be taken.
const acceptAgain = 10 * time.Millisecond

// flow is one connection that is passed on.
type flow struct {
	caller, target                 net.Conn
	silentToTarget, silentToCaller atomic.Bool
}

func newCutter(address, target string) (*cutter, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	c := &cutter{ln: ln, target: target, flows: map[*flow]bool{}}
	go c.accept()
	return c, nil
}

func (c *cutter) accept() {
	for {
		caller, err := c.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// Out of descriptors, most likely: what is measured behind this cutter
			// from now on is the test's own doing.
			c.failed.Store(&err)
			time.Sleep(acceptAgain)
			continue
		}
		target, err := net.Dial("tcp", c.target)
		if err != nil {
			_ = caller.Close() // the caller sees that the target is down
			continue
		}
		f := &flow{caller: caller, target: target}
		c.mu.Lock()
		c.flows[f] = true
		c.mu.Unlock()
		go c.pass(f, caller, target, &f.silentToTarget)
		go c.pass(f, target, caller, &f.silentToCaller)
	}
}

// pass copies one direction. A silent direction swallows what comes, and then
// the end of the connection as well: neither side learns anything.
func (c *cutter) pass(f *flow, from, to net.Conn, silent *atomic.Bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if d := time.Duration(c.delay.Load()); d > 0 && n > 0 {
			<-time.After(d)
		}
		if silent.Load() {
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
			c.end(f)
			return
		}
	}
}

func (c *cutter) end(f *flow) {
	_ = f.caller.Close() // may be closed already
	_ = f.target.Close() // may be closed already
	c.mu.Lock()
	delete(c.flows, f)
	c.mu.Unlock()
}

// open lists the connections that are passed on now.
func (c *cutter) open() []*flow {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*flow
	for f := range c.flows {
		out = append(out, f)
	}
	return out
}

// silence makes the open connections silent for good; new ones work.
func (c *cutter) silence(toTarget, toCaller bool) {
	for _, f := range c.open() {
		f.silentToTarget.Store(toTarget)
		f.silentToCaller.Store(toCaller)
	}
}

// sever closes the open connections, in the middle of a frame as it may be.
func (c *cutter) sever() {
	for _, f := range c.open() {
		c.end(f)
	}
}

// reset resets the open connections on both sides: what is under way is lost.
func (c *cutter) reset() {
	for _, f := range c.open() {
		for _, conn := range []net.Conn{f.caller, f.target} {
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // it may be closed already
			}
		}
		c.end(f)
	}
}

func (c *cutter) address() string { return c.ln.Addr().String() }

func (c *cutter) close() {
	_ = c.ln.Close() // ends accept
	c.sever()
}

// cut SERVER silent|silent-in|silent-out|sever|delay=50ms: what happens to the
// links to an agent, or with the name of an engine's process, to its calls
func cmdCut(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 2, "cut SERVER HOW")
	c := state(ts).c.cutters[args[0]]
	if c == nil {
		ts.Fatalf("links to %q do not pass through a cutter (cluster cuts=true)", args[0])
	}
	switch args[1] {
	case "silent":
		c.silence(true, true)
	case "silent-in":
		c.silence(true, false)
	case "silent-out":
		c.silence(false, true)
	case "sever":
		c.sever()
	default:
		var ms int
		if _, err := fmt.Sscanf(args[1], "delay=%dms", &ms); err != nil {
			ts.Fatalf("no such cut %q", args[1])
		}
		c.delay.Store(int64(ms) * int64(time.Millisecond))
	}
}
