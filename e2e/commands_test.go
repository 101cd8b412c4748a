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

// cmdCancel implements "cancel GROUP": it cancels the requests of all callers of a group.
func cmdCancel(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 1, "cancel GROUP")
	group := scenarioOf(ts).groups[args[0]]
	group.cancel()
	group.wg.Wait()
	for _, err := range group.errs {
		ts.Fatalf("%v", err)
	}
}

// cmdIdle implements "idle": it waits until no router and no engine has a request in progress.
func cmdIdle(ts *testscript.TestScript, _ bool, _ []string) {
	c := scenarioOf(ts).cluster
	ts.Check(waitFor("no requests in progress", func() error {
		for i := range c.Routers {
			s, err := c.status(fmt.Sprint("router-", i))
			if err != nil {
				return err
			}
			for _, p := range s.Processes {
				if p.Role == "router" && p.Running > 0 {
					return fmt.Errorf("%s has %d requests in progress", p.Name, p.Running)
				}
			}
		}
		for i := range c.Engines {
			var r engine.LoadReport
			if err := c.getJSON(fmt.Sprintf("http://%s:7100/v1/load", c.address(fmt.Sprint("engine-", i))), &r); err != nil {
				return err
			}
			if r.Running+r.Waiting > 0 {
				return fmt.Errorf("engine-%d has requests in progress, %d of them running", i, r.Running)
			}
		}
		return nil
	}))
}

// cmdMetric implements "metric PROCESS NAME min=N": it waits until a metric has reached N.
func cmdMetric(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 3, "metric PROCESS NAME min=N")
	c, o := scenarioOf(ts).cluster, parseOptions(ts, args[2:])
	ts.Check(waitFor(args[1], func() error {
		g := gomega.NewGomega(func(message string, _ ...int) { ts.Fatalf("%s", message) })
		if v := c.metric(g, args[0], args[1]); v < float64(intOption(ts, o, "min", 1)) {
			return fmt.Errorf("the value is %g", v)
		}
		return nil
	}))
}

// cmdSlowClients implements "slowclients ROUTER n=20": it opens connections that send
// only a part of their headers or of their body, and waits until the router closes
// one of each kind.
func cmdSlowClients(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 1, "slowclients ROUTER [n=]")
	c, o := scenarioOf(ts).cluster, parseOptions(ts, args[1:])
	head := "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + teamKey + "\r\n"
	partialRequests := []string{head, head + "Content-Length: 100\r\n\r\n{\"model\":"}
	for i := range intOption(ts, o, "n", 1) {
		conn, err := net.Dial("tcp", c.callerAddress(args[0]))
		ts.Check(err)
		ts.Defer(func() { _ = conn.Close() }) // the router may have closed it
		_, err = conn.Write([]byte(partialRequests[i%len(partialRequests)]))
		ts.Check(err)
		ts.Check(conn.SetReadDeadline(time.Now().Add(waitTimeout)))
		if i < len(partialRequests) { // one of each kind
			response, err := io.ReadAll(conn)
			ts.Check(err)
			ts.Logf("slow client %d got %q", i, truncate(string(response)))
		}
	}
}

// cmdServed implements "served GROUP VERSION [min=N] [max=N]": it checks how many
// callers of a group were served by a model version.
func cmdServed(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 2, "served GROUP VERSION [min= max=]")
	s, o := scenarioOf(ts), parseOptions(ts, args[2:])
	n := 0
	for _, result := range s.groups[args[0]].results {
		if result.Served == args[1] {
			n++
		}
	}
	if n < intOption(ts, o, "min", 0) || n > intOption(ts, o, "max", len(s.groups[args[0]].results)) {
		ts.Fatalf("%d of %d requests were served by %s", n, len(s.groups[args[0]].results), args[1])
	}
	ts.Logf("%d of %d requests were served by %s", n, len(s.groups[args[0]].results), args[1])
}

// cmdLoaded implements "loaded TARGET [not]": it waits until the agents of all engines
// serve the target, or with "not" until none does.
func cmdLoaded(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 1, "loaded TARGET [not]")
	c := scenarioOf(ts).cluster
	want := len(args) == 1
	ts.Check(waitFor(strings.Join(args, " "), func() error {
		for i := range c.Engines {
			name := fmt.Sprint("agent-engine-", i)
			if p, _ := c.process("second-" + name); p != nil {
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

// cmdSecondAgent implements "secondagent engine-0": it starts another agent for a backend
// server and sets SECOND, FIRST and AGENT0, AGENT1, ... to the addresses of the agents.
func cmdSecondAgent(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 1, "secondagent SERVER")
	c := scenarioOf(ts).cluster
	ts.Check(c.startSecondAgent(args[0], 0))
	ts.Setenv("SECOND", c.address("second-agent-"+args[0])+":7300")
	ts.Setenv("FIRST", c.address("agent-"+args[0])+":7300")
	for i := range c.Engines {
		ts.Setenv(fmt.Sprint("AGENT", i), c.address(fmt.Sprint("agent-engine-", i))+":7300")
	}
}

// cmdFencingTokens implements "fencingtokens engine-0": it checks that the fencing tokens of the
// orders that an engine accepted never decrease.
func cmdFencingTokens(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 1, "fencingtokens SERVER")
	c := scenarioOf(ts).cluster
	var orders []engine.Order
	ts.Check(c.getJSON("http://"+c.address(args[0])+":7100/standin/orders", &orders))
	previous := uint64(0)
	for _, o := range orders {
		if o.FencingToken < previous {
			ts.Fatalf("an order with fencing token %d was accepted after one with %d: %+v", o.FencingToken, previous, orders)
		}
		previous = o.FencingToken
	}
	if len(orders) == 0 {
		ts.Fatalf("the engine accepted no orders")
	}
	ts.Logf("%d orders, the last with fencing token %d", len(orders), previous)
}

// cmdLivePeers implements "livepeers N": it waits until every router counts N live routers,
// and sets HOMEROUTER to the home router of the team "small" and OTHER to another router.
func cmdLivePeers(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 1, "livepeers N")
	c := scenarioOf(ts).cluster
	ts.Check(waitFor("live routers", func() error {
		g := gomega.NewGomega(func(message string, _ ...int) { ts.Fatalf("%s", message) })
		for i := range c.Routers {
			if n := c.metric(g, fmt.Sprint("router-", i), "merlinpost_router_peers"); fmt.Sprint(n) != args[0] {
				return fmt.Errorf("router-%d counts %g live routers", i, n)
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

// cmdLoadReport implements "loadreport FILE CLASS [answered=N] [refused=0]": it checks the
// report of a load run for a class. At least N requests must have been answered (by default
// all) and at least the given number refused. No response may be wrong or truncated, and every
// refusal because of overload must have a Retry-After header.
func cmdLoadReport(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 2, "loadreport FILE CLASS [answered= refused=]")
	o := parseOptions(ts, args[2:])
	var reports []load.Report
	ts.Check(json.Unmarshal([]byte(ts.ReadFile(args[0])), &reports))
	for _, c := range reports[0].Classes {
		if c.Class != args[1] {
			continue
		}
		ts.Logf("%s: sent %d, answered %d, failures %v", c.Class, c.Sent, c.Answered, c.Failures)
		if c.WrongContent+c.WrongLength+c.NoRetryAfter > 0 {
			ts.Fatalf("%d wrong responses, %d truncated, %d refused without Retry-After", c.WrongContent, c.WrongLength, c.NoRetryAfter)
		}
		if want := intOption(ts, o, "answered", c.Sent); c.Answered < want {
			ts.Fatalf("%d of %d answered: %v", c.Answered, c.Sent, c.Failures)
		}
		if want := intOption(ts, o, "refused", 0); c.Sent-c.Answered < want {
			ts.Fatalf("%d refused, want at least %d", c.Sent-c.Answered, want)
		}
		return
	}
	ts.Fatalf("no class %q in the report", args[1])
}
