package relay

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// stepKinds lists the kinds of steps. A kind is drawn with a probability proportional
// to the number of times that it is listed.
var stepKinds = []string{
	"deliver all", "deliver all", "deliver all", "deliver one", "deliver one", "deliver one",
	"step engines", "step engines", "step engines", "add request", "add request",
	"advance", "advance", "advance far",
	"break link", "break link", "break link", "reconnect", "reconnect", "reconnect",
	"kill", "restart", "crash engine", "caller disconnects", "drain",
}

// step executes one random step.
func (cl *cluster) step() {
	kind := rapid.SampledFrom(stepKinds).Draw(cl.t, "step")
	links := cl.allLinks()
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
		for _, l := range links {
			cl.deliverNext(l)
		}
	case "kill", "restart", "crash engine", "drain":
		a := draw(cl, cl.agents, "which agent")
		cl.disruptAgent(kind, a)
	case "caller disconnects":
		if len(cl.requests) > 0 {
			draw(cl, cl.requests, "which request").machine.HandleCallerDisconnected()
		}
	case "reconnect":
		for _, r := range cl.requests {
			cl.reconnect(r)
		}
	default:
		if len(links) == 0 {
			return
		}
		l := draw(cl, links, "link")
		if kind == "break link" {
			cl.breakLink(l, rapid.Bool().Draw(cl.t, "agent notices"))
		} else {
			cl.deliverNext(l)
		}
	}
}

// disruptAgent executes a step that kills, restarts or drains an agent or crashes its
// engine.
func (cl *cluster) disruptAgent(kind string, a *agent) {
	switch kind {
	case "kill":
		a.down = true
		a.runs = nil
		for _, l := range cl.allLinks() {
			if l.agent == a {
				cl.breakLink(l, false)
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
		if rapid.IntRange(0, 4).Draw(cl.t, "drain only if 0") == 0 {
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
		unfinished := 0
		for _, a := range cl.agents {
			if a.down {
				a.down = false
				a.restart()
			}
		}
		for _, r := range cl.requests {
			cl.reconnect(r)
			if r.finishCount == 0 {
				unfinished++
			}
		}
		if unfinished == 0 {
			return
		}
		for _, l := range cl.allLinks() {
			cl.deliverNext(l)
		}
		cl.stepEngines()
		cl.advance(20 * time.Millisecond)
	}
}

// Over random interleavings of delivered, lost and late messages, broken links,
// crashes and restarts, no answer misses a token, repeats one or contains one of
// another request; a request reported as "not run" is never started, before or after
// the report; a request that must not be repeated starts at most once; and every
// request finishes exactly once.
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
		for _, l := range cl.allLinks() { // deliver what is still in transit
			for len(l.toAgent) > 0 {
				cl.deliverNext(l)
			}
		}
		cl.stepEngines()
	})
}
