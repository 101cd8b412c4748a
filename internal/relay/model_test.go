package relay

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// steps is the mix of steps: a name that stands twice comes twice as often.
var steps = []string{"flow", "flow", "flow", "move", "move", "move", "engine", "engine", "engine", "add", "add", "pass", "pass",
	"long pass", "break", "break", "break", "heal", "heal", "heal", "kill", "revive", "crash", "gone", "drain"}

func (w *world) step() {
	kind := rapid.SampledFrom(steps).Draw(w.t, "step")
	conns := w.conns()
	switch kind {
	case "add":
		if len(w.requests) < 6 {
			w.add(rapid.Bool().Draw(w.t, "repeat"))
		}
	case "engine":
		w.engines()
	case "pass":
		w.pass(time.Duration(rapid.IntRange(1, 300).Draw(w.t, "ms")) * time.Millisecond)
	case "long pass":
		w.pass(time.Duration(rapid.IntRange(500, 5000).Draw(w.t, "ms")) * time.Millisecond)
	case "flow":
		for _, c := range conns {
			w.move(c)
		}
	case "kill", "revive", "crash", "drain":
		a := pick(w, w.agents, "which agent")
		w.disturb(kind, a)
	case "gone":
		if len(w.requests) > 0 {
			pick(w, w.requests, "which request").m.HandleCallerGone()
		}
	case "heal":
		for _, r := range w.requests {
			w.heal(r)
		}
	default:
		if len(conns) == 0 {
			return
		}
		c := pick(w, conns, "link")
		if kind == "break" {
			w.breakLink(c, rapid.Bool().Draw(w.t, "agent sees"))
		} else {
			w.move(c)
		}
	}
}

func (w *world) disturb(kind string, a *agent) {
	switch kind {
	case "kill":
		a.down = true
		a.runs = nil
		for _, c := range w.conns() {
			if c.a == a {
				w.breakLink(c, false)
			}
		}
	case "revive":
		if a.down {
			a.down = false
			a.restart()
		}
		for _, r := range w.requests {
			r.m.HandleAgentAvailable()
		}
	case "crash":
		a.engineCrash()
	case "drain":
		if rapid.IntRange(0, 4).Draw(w.t, "really") == 0 {
			a.core.Drain()
		}
	}
}

// settle lets everything heal and run until each request has its final word.
func (w *world) settle() {
	for i := 0; ; i++ {
		if i > 4000 {
			w.t.Fatalf("requests never end")
		}
		open := 0
		for _, a := range w.agents {
			if a.down {
				a.down = false
				a.restart()
			}
		}
		for _, r := range w.requests {
			w.heal(r)
			if r.finished == 0 {
				open++
			}
		}
		if open == 0 {
			return
		}
		for _, c := range w.conns() {
			w.move(c)
		}
		w.engines()
		w.pass(20 * time.Millisecond)
	}
}

// Over random interleavings of messages, losses, broken links, late messages
// of old links, crashes and restarts: nobody gets a token missing, doubled or
// of another request; "not run" is true then and later; what may not be
// repeated starts at most once; every request gets one final word.
func TestRequestsOverFailingLinksAndAgents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), starts: map[string]int{}}
		for i := range rapid.IntRange(1, 3).Draw(t, "agents") {
			a := &agent{w: w, index: i}
			a.restart()
			w.agents = append(w.agents, a)
		}
		for range 3 {
			w.add(rapid.Bool().Draw(t, "repeat"))
		}
		for range rapid.IntRange(5, 150).Draw(t, "steps") {
			w.step()
		}
		w.settle()
		w.pass(time.Minute)
		for _, c := range w.conns() { // what was still under way arrives now
			for len(c.toAgent) > 0 {
				w.move(c)
			}
		}
		w.engines()
	})
}
