package relay

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// stepKinds lists the kinds of steps; each is drawn as often as it is listed.
var stepKinds = []string{
	"deliver all", "deliver all", "deliver all", "deliver one", "deliver one", "deliver one",
	"step engines", "step engines", "step engines", "add request", "add request",
	"advance", "advance", "advance far",
	"break link", "break link", "break link", "reconnect", "reconnect", "reconnect",
	"kill", "restart", "crash engine", "caller gone", "drain",
}

func (cl *cluster) step() {
	kind := rapid.SampledFrom(stepKinds).Draw(cl.t, "step")
	conns := cl.allLinks()
	switch kind {
	case "add request":
		if len(cl.requests) < 6 {
			cl.addRequest(rapid.Bool().Draw(cl.t, "repeat"))
		}
	case "step engines":
		cl.stepEngines()
	case "advance":
		cl.advance(time.Duration(rapid.IntRange(1, 300).Draw(cl.t, "ms")) * time.Millisecond)
	case "advance far":
		cl.advance(time.Duration(rapid.IntRange(500, 5000).Draw(cl.t, "ms")) * time.Millisecond)
	case "deliver all":
		for _, c := range conns {
			cl.deliverNext(c)
		}
	case "kill", "restart", "crash engine", "drain":
		a := draw(cl, cl.agents, "which agent")
		cl.disruptAgent(kind, a)
	case "caller gone":
		if len(cl.requests) > 0 {
			draw(cl, cl.requests, "which request").machine.HandleCallerDisconnected()
		}
	case "reconnect":
		for _, r := range cl.requests {
			cl.reconnect(r)
		}
	default:
		if len(conns) == 0 {
			return
		}
		c := draw(cl, conns, "link")
		if kind == "break link" {
			cl.breakLink(c, rapid.Bool().Draw(cl.t, "agent notices"))
		} else {
			cl.deliverNext(c)
		}
	}
}

func (cl *cluster) disruptAgent(kind string, a *agent) {
	switch kind {
	case "kill":
		a.down = true
		a.runs = nil
		for _, c := range cl.allLinks() {
			if c.agent == a {
				cl.breakLink(c, false)
			}
		}
	case "restart":
		if a.down {
			a.down = false
			a.restart()
		}
		for _, r := range cl.requests {
			r.machine.HandleAgentAvailable()
		}
	case "crash engine":
		a.crashEngine()
	case "drain":
		if rapid.IntRange(0, 4).Draw(cl.t, "really") == 0 {
			a.core.Drain()
		}
	}
}

// runToCompletion restarts agents, restores links and advances the cluster until
// every request has finished.
func (cl *cluster) runToCompletion() {
	for i := 0; ; i++ {
		if i > 4000 {
			cl.t.Fatalf("requests still unfinished after %d steps", i)
		}
		open := 0
		for _, a := range cl.agents {
			if a.down {
				a.down = false
				a.restart()
			}
		}
		for _, r := range cl.requests {
			cl.reconnect(r)
			if r.finishCount == 0 {
				open++
			}
		}
		if open == 0 {
			return
		}
		for _, c := range cl.allLinks() {
			cl.deliverNext(c)
		}
		cl.stepEngines()
		cl.advance(20 * time.Millisecond)
	}
}

// Checks over random interleavings of messages, losses, broken links, late
// messages of old links, crashes and restarts that no caller gets a missing,
// duplicate or foreign token; that a request reported as "not run" was not and is
// not started; that a request that must not be repeated starts at most once; and
// that every request finishes exactly once.
func TestRequestsOverFailingLinksAndAgents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cl := &cluster{t: t, now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), starts: map[string]int{}}
		for i := range rapid.IntRange(1, 3).Draw(t, "agents") {
			a := &agent{cluster: cl, index: i}
			a.restart()
			cl.agents = append(cl.agents, a)
		}
		for range 3 {
			cl.addRequest(rapid.Bool().Draw(t, "repeat"))
		}
		for range rapid.IntRange(5, 150).Draw(t, "steps") {
			cl.step()
		}
		cl.runToCompletion()
		cl.advance(time.Minute)
		for _, c := range cl.allLinks() { // deliver what is still in transit
			for len(c.toAgent) > 0 {
				cl.deliverNext(c)
			}
		}
		cl.stepEngines()
	})
}
