package e2e

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"github.com/onsi/gomega"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/merlinpost/merlinpost/internal/load"
	"github.com/merlinpost/merlinpost/internal/rendezvous"
	"github.com/merlinpost/merlinpost/internal/standin/engine"
)

// abandon NAME: the callers go away in the middle
func cmdAbandon(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 1, "abandon NAME")
	w := state(ts).crowds[args[0]]
	w.cancel()
	w.wg.Wait()
	for _, err := range w.errs {
		ts.Fatalf("%v", err)
	}
}

// idle: no router and no agent has a request in progress
func cmdIdle(ts *testscript.TestScript, _ bool, _ []string) {
	c := state(ts).c
	ts.Check(eventually("nothing is in progress", func() error {
		for i := range c.Routers {
			s, err := c.status(fmt.Sprint("router-", i))
			if err != nil {
				return err
			}
			for _, p := range s.Processes {
				if p.Role == "router" && p.Running > 0 {
					return fmt.Errorf("%s has %d", p.Name, p.Running)
				}
			}
		}
		for i := range c.Engines {
			var r engine.Report
			if err := c.getJSON(fmt.Sprintf("http://%s:7100/v1/load", c.address(fmt.Sprint("engine-", i))), &r); err != nil {
				return err
			}
			if r.Running+r.Waiting > 0 {
				return fmt.Errorf("engine-%d runs %d", i, r.Running)
			}
		}
		return nil
	}))
}

// metric PROCESS NAME min=N: a counter has reached N
func cmdMetric(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 3, "metric PROCESS NAME min=N")
	c, o := state(ts).c, options(ts, args[2:])
	ts.Check(eventually(args[1], func() error {
		g := gomega.NewGomega(func(message string, _ ...int) { ts.Fatalf("%s", message) })
		if v := c.metric(g, args[0], args[1]); v < float64(number(ts, o, "min", 1)) {
			return fmt.Errorf("it is %g", v)
		}
		return nil
	}))
}

// slowclients ROUTER n=20: connections that send half of their headers, half of
// their body, or never read their answer; each is ended by the router
func cmdSlowClients(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 1, "slowclients ROUTER [n=]")
	c, o := state(ts).c, options(ts, args[1:])
	head := "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + teamKey + "\r\n"
	texts := []string{head, head + "Content-Length: 100\r\n\r\n{\"model\":"}
	for i := range number(ts, o, "n", 1) {
		conn, err := net.Dial("tcp", c.callers(args[0]))
		ts.Check(err)
		ts.Defer(func() { _ = conn.Close() }) // the router has closed it already
		_, err = conn.Write([]byte(texts[i%len(texts)]))
		ts.Check(err)
		ts.Check(conn.SetReadDeadline(time.Now().Add(waitLimit)))
		if i < len(texts) { // one of each kind is waited for
			answer, err := io.ReadAll(conn)
			ts.Check(err)
			ts.Logf("slow client %d got %q", i, clip(string(answer)))
		}
	}
}

// served NAME VERSION min=N max=N: as many of the callers were answered by the
// version
func cmdServed(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 2, "served NAME VERSION [min= max=]")
	s, o := state(ts), options(ts, args[2:])
	n := 0
	for _, out := range s.crowds[args[0]].outcomes {
		if out.Served == args[1] {
			n++
		}
	}
	if n < number(ts, o, "min", 0) || n > number(ts, o, "max", len(s.crowds[args[0]].outcomes)) {
		ts.Fatalf("%d of %d were served by %s", n, len(s.crowds[args[0]].outcomes), args[1])
	}
	ts.Logf("%d of %d were served by %s", n, len(s.crowds[args[0]].outcomes), args[1])
}

// loaded TARGET [not]: every engine has the target loaded, and the routers know
func cmdLoaded(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 1, "loaded TARGET [not]")
	c := state(ts).c
	want := len(args) == 1
	ts.Check(eventually(strings.Join(args, " "), func() error {
		for i := range c.Engines {
			name := fmt.Sprint("agent-engine-", i)
			if p, _ := c.proc("second-" + name); p != nil {
				name = "second-" + name
			}
			s, err := c.agentStatus(name)
			if err != nil {
				return err
			}
			if strings.Contains(strings.Join(s.Serving, " "), args[0]) != want {
				return fmt.Errorf("engine-%d serves %v", i, s.Serving)
			}
		}
		return nil
	}))
}

// secondagent engine-0: one more agent for the backend server; prints where
func cmdSecondAgent(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 1, "secondagent SERVER")
	c := state(ts).c
	ts.Check(c.secondAgent(args[0], 0))
	ts.Setenv("SECOND", c.address("second-agent-"+args[0])+":7300")
	ts.Setenv("FIRST", c.address("agent-"+args[0])+":7300")
	for i := range c.Engines {
		ts.Setenv(fmt.Sprint("AGENT", i), c.address(fmt.Sprint("agent-engine-", i))+":7300")
	}
}

// fences engine-0: the orders that the engine took came with fencing numbers
// that never went down
func cmdFences(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 1, "fences SERVER")
	c := state(ts).c
	var orders []engine.Order
	ts.Check(c.getJSON("http://"+c.address(args[0])+":7100/standin/orders", &orders))
	last := uint64(0)
	for _, o := range orders {
		if o.Fence < last {
			ts.Fatalf("an order with fence %d came after one with %d: %+v", o.Fence, last, orders)
		}
		last = o.Fence
	}
	if len(orders) == 0 {
		ts.Fatalf("there were no orders")
	}
	ts.Logf("%d orders, the last with fence %d", len(orders), last)
}

// peers N: every router counts N live routers; sets HOME to the home of the team
// "small" and OTHER to another router
func cmdPeers(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 1, "peers N")
	c := state(ts).c
	ts.Check(eventually("peers", func() error {
		g := gomega.NewGomega(func(message string, _ ...int) { ts.Fatalf("%s", message) })
		for i := range c.Routers {
			if n := c.metric(g, fmt.Sprint("router-", i), "merlinpost_router_peers"); fmt.Sprint(n) != args[0] {
				return fmt.Errorf("router-%d counts %g", i, n)
			}
		}
		return nil
	}))
	var names []string
	for i := range c.Routers {
		names = append(names, fmt.Sprint("router-", i))
	}
	ranked := rendezvous.Rank("small", names)
	ts.Setenv("HOMEROUTER", ranked[0])
	ts.Setenv("OTHER", ranked[len(ranked)-1])
}

// reported FILE CLASS [answered=all|N] [refused=0]: what a load run's report
// says of a class; nothing was wrong or short, every refusal for load told when
// to come back
func cmdReported(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 2, "reported FILE CLASS [answered= refused=]")
	o := options(ts, args[2:])
	var reports []load.Report
	ts.Check(json.Unmarshal([]byte(ts.ReadFile(args[0])), &reports))
	for _, c := range reports[0].Classes {
		if c.Class != args[1] {
			continue
		}
		ts.Logf("%s: sent %d, answered %d, failures %v", c.Class, c.Sent, c.Answered, c.Failures)
		if c.Wrong+c.Short+c.NoRetryAfter > 0 {
			ts.Fatalf("%d wrong, %d short, %d refused without a time to come back", c.Wrong, c.Short, c.NoRetryAfter)
		}
		if want := number(ts, o, "answered", c.Sent); c.Answered < want {
			ts.Fatalf("%d of %d answered: %v", c.Answered, c.Sent, c.Failures)
		}
		if want := number(ts, o, "refused", 0); c.Sent-c.Answered < want {
			ts.Fatalf("only %d were refused: no overload", c.Sent-c.Answered)
		}
		return
	}
	ts.Fatalf("no class %q in the report", args[1])
}
