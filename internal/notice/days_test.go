//go:build !race

// Whole fleets in simulated time run without the race detector, whose own runtime fails in some runs of
// them.

package notice_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/merlinpost/merlinpost/internal/standin/simfleet"
	"github.com/merlinpost/merlinpost/internal/standin/worker"
)

const (
	dayLength = 16 * time.Second
	// contact is the time after which the whole fleet must know what a server has said.
	contact = 3 * time.Second
	// window is the span in which arrivals are counted.
	window = 4 * time.Second
	// longestRefusal is half of the time that callers wait.
	longestRefusal = 2500 * time.Millisecond
	// leaveWithin is the time after which a gateway that was told that a server leaves sends it nothing.
	leaveWithin = 2 * time.Second
	// From restKnown after a refusal with a rest to the end of that, a gateway may send mostInRest requests.
	restKnown, mostInRest = 500 * time.Millisecond, 2
)

// day is a drawn day of servers that state rates, and of what happens to gateways meanwhile.
type day struct {
	route             string
	gateways, servers int
	rate              float64
	// limited servers state the rate from limitAt on, and no longer from liftAt on.
	limited         int
	limitAt, liftAt time.Duration
	// leaving servers say from leaveAt on that they leave, while the list calls them ready; 0 for none.
	leaving int
	leaveAt time.Duration
	// resting servers turn requests away for refuseFor from refuseAt on and want nothing for rest; 0 for none.
	resting             int
	refuseAt, refuseFor time.Duration
	rest                time.Duration
	every               time.Duration // between two requests
	// uneven callers all come to one gateway.
	uneven bool
	faults []fault
}

// fault is something that happens to gateways.
type fault struct {
	at, lasts time.Duration
	kind      string
	node      int
}

var faultKinds = []string{"kill", "cut off", "two sides", "join", "store away"}

func drawDay(t *rapid.T) day {
	ms := func(from, to int, what string) time.Duration {
		return time.Duration(rapid.IntRange(from, to).Draw(t, what)) * time.Millisecond
	}
	d := day{route: rapid.SampledFrom([]string{"once", "again", "stream", "resume"}).Draw(t, "route"),
		gateways: rapid.IntRange(1, 5).Draw(t, "gateways"), servers: rapid.IntRange(1, 8).Draw(t, "servers"),
		rate:    rapid.SampledFrom([]float64{0, 0.2, 1, 4, 60}).Draw(t, "rate"),
		limitAt: ms(500, 3000, "limit at"), liftAt: ms(9000, 20000, "lift at"),
		every: ms(4, 60, "every"), uneven: rapid.Bool().Draw(t, "uneven")}
	d.limited = rapid.IntRange(1, d.servers).Draw(t, "limited")
	if rapid.Bool().Draw(t, "leave") {
		d.leaving, d.leaveAt = rapid.IntRange(1, d.servers).Draw(t, "leaving"), ms(500, 9000, "leave at")
	}
	if rapid.Bool().Draw(t, "rest") {
		d.resting, d.refuseAt, d.refuseFor = rapid.IntRange(1, d.servers).Draw(t, "resting"), ms(500, 9000, "refuse at"), ms(50, 2000, "refuse for")
		d.rest = ms(1000, 6000, "rest for")
	}
	for range rapid.IntRange(0, 4).Draw(t, "faults") {
		d.faults = append(d.faults, fault{ms(500, 12000, "at"), ms(200, 8000, "lasts"), rapid.SampledFrom(faultKinds).Draw(t, "kind"),
			rapid.IntRange(0, d.gateways-1).Draw(t, "node")})
	}
	return d
}

// played is a day as it goes.
type played struct {
	*simfleet.Fleet
	day
	begin time.Time

	mu      sync.Mutex
	replies map[string]simfleet.Response
	asked   map[string]time.Time
}

// ask sends requests at a pace.
func (p *played) ask() {
	rnd := rand.New(rand.NewPCG(5, 5))
	var asked sync.WaitGroup
	for i := 0; time.Since(p.begin) < dayLength; i++ {
		n := p.Nodes[rnd.IntN(p.gateways)]
		if p.uneven {
			n = p.Nodes[0]
		}
		if n.Gateway().Ready() { // as the balancer sees it
			id := fmt.Sprintf("%s/%s-%d", n.Name, p.route, i)
			asked.Go(func() {
				at := time.Now()
				r := p.SendRequest(n, p.route, id, "body of "+id)
				p.mu.Lock()
				p.replies[id], p.asked[id] = r, at
				p.mu.Unlock()
			})
		}
		time.Sleep(p.every)
	}
	asked.Wait()
}

// speak has servers say of themselves what the day has them say.
func (p *played) speak() {
	step := 10 * time.Millisecond
	refusing := false
	for now := time.Duration(0); now < dayLength; now += step {
		for i, s := range p.Servers {
			var lines []string
			if i < p.limited && now >= p.limitAt && now < p.liftAt {
				lines = append(lines, "Server-Limit: "+strconv.FormatFloat(p.rate, 'g', -1, 64))
			}
			if p.leaves(i) && now >= p.leaveAt {
				lines = append(lines, "Server-Leaving: 1")
			}
			p.CurrentWorker(s).SetHeaders(lines...)
		}
		if refuse := now >= p.refuseAt && now < p.refuseAt+p.refuseFor; p.resting > 0 && refuse != refusing {
			refusing = refuse
			p.SetEventInterval(0)
			for _, s := range p.Servers[:p.resting] {
				if refuse {
					p.CurrentWorker(s).SetBehaviour(worker.Behaviour{Reject: true, RetryAfter: strconv.FormatFloat(p.rest.Seconds(), 'f', 3, 64)})
				}
			}
		}
		p.Sleep(step)
	}
}

// leaves reports whether a server leaves: those at the end of the list do.
func (p *played) leaves(i int) bool { return i >= p.servers-p.leaving }

// suffer plays one fault.
func (p *played) suffer(f fault) {
	p.Sleep(f.at)
	n := p.Nodes[f.node]
	switch f.kind {
	case "kill":
		p.KillNode(n)
		p.StartNode(n)
	case "cut off", "two sides":
		apart := func(i int) bool { return f.kind == "two sides" && i <= f.node || i == f.node }
		p.part(apart, true)
		p.Sleep(f.lasts)
		p.part(apart, false)
	case "join":
		p.AddNode(fmt.Sprint("joined-", f.at))
	case "store away":
		p.PartitionStore(n, true)
		p.Sleep(f.lasts)
		p.PartitionStore(n, false)
	}
}

// part cuts gateways from the others, or mends it; all reach the servers.
func (p *played) part(apart func(int) bool, cut bool) {
	for i, a := range p.Nodes {
		for j, b := range p.Nodes {
			if i < j && apart(i) != apart(j) {
				p.PartitionNodes(a, b, cut)
			}
		}
	}
}

// arrivals are when requests came to a server.
func arrivals(w *worker.Worker) []time.Time {
	var out []time.Time
	for _, a := range w.Arrivals() {
		out = append(out, a.At)
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// worst is the most of these in any window that lies between two times.
func worst(at []time.Time, from, to time.Time) (most int) {
	first := 0
	for i := range at {
		if at[i].Before(from) {
			first = i + 1
			continue
		}
		for at[i].Sub(at[first]) > window {
			first++
		}
		if at[i].Before(to) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// perGateway returns the arrivals at a server by the gateway that sent them, without gateways that are
// killed in the day: they forget what they were told.
func (p *played) perGateway(w *worker.Worker) map[string][]worker.Arrival {
	out := map[string][]worker.Arrival{}
	for _, a := range w.Arrivals() {
		host, _, _ := strings.Cut(a.ID, "/")
		out[host] = append(out[host], a)
	}
	for _, f := range p.faults {
		if f.kind == "kill" {
			delete(out, p.Nodes[f.node].Name)
		}
	}
	return out
}

// unheeded tells which gateway did not do as a server had told it, "" for none.
func (p *played) unheeded() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, s := range p.Servers {
		for host, arrivals := range p.perGateway(p.CurrentWorker(s)) {
			slices.SortFunc(arrivals, func(a, b worker.Arrival) int { return a.At.Compare(b.At) })
			if p.leaves(i) {
				if id := afterLeave(arrivals, p.begin.Add(p.leaveAt+10*time.Millisecond), p.asked); id != "" {
					return id + " reached a server after its gateway was told that it leaves"
				}
			}
			if i < p.resting {
				from := p.begin.Add(p.refuseAt + 10*time.Millisecond)
				if n := inRest(arrivals, from, from.Add(p.refuseFor-20*time.Millisecond), p.rest); n > mostInRest {
					return fmt.Sprintf("%s sent %d requests in a rest", host, n)
				}
			}
		}
	}
	return ""
}

// afterLeave returns a request that was asked later than leaveWithin after its gateway was told.
func afterLeave(arrivals []worker.Arrival, said time.Time, asked map[string]time.Time) string {
	var told time.Time
	for _, a := range arrivals {
		switch {
		case a.At.Before(said):
		case told.IsZero():
			told = a.At
		case asked[a.ID].Sub(told) > leaveWithin:
			return a.ID
		}
	}
	return ""
}

// inRest returns the most requests in a rest that was asked for between two times.
func inRest(arrivals []worker.Arrival, from, to time.Time, rest time.Duration) (most int) {
	for i, first := range arrivals {
		if first.At.Before(from) || first.At.After(to) {
			continue
		}
		n := 0
		for _, a := range arrivals[i:] {
			if since := a.At.Sub(first.At); since > restKnown && since < rest {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// wrong tells what is wrong with the day, "" for nothing.
func (p *played) wrong() string {
	if wrong := p.unheeded(); wrong != "" {
		return wrong
	}
	from, to := p.begin.Add(p.limitAt+contact), p.begin.Add(p.liftAt)
	ran := map[string]bool{}
	for _, s := range p.Servers {
		for _, r := range p.CurrentWorker(s).Executions() {
			ran[r.ID] = true
		}
	}
	for _, s := range p.Servers[:p.limited] {
		if n, allowed := worst(arrivals(p.CurrentWorker(s)), from, to), 1.5*p.rate*window.Seconds()+5; float64(n) > allowed {
			return fmt.Sprintf("%s got %d requests in 4 s, allowed %v", s.ID, n, allowed)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, r := range p.replies {
		back, _ := strconv.ParseFloat(r.RetryAfter, 64)
		switch {
		case r.Status != 429 && r.Status != 503:
		case ran[id]:
			return id + " was refused and has run"
		case back <= 0:
			return id + " was refused without when to come back"
		case r.Elapsed > longestRefusal:
			return fmt.Sprintf("%s was refused after %s", id, r.Elapsed)
		}
	}
	return ""
}

// used tells where a calm day leaves too much of the limits unused, "" for nowhere.
func (p *played) used() string {
	possible := p.rate * float64(p.limited)
	asked := 1 / p.every.Seconds()
	if len(p.faults) > 0 || p.leaving > 0 || p.resting > 0 || p.limited < p.servers || p.rate < 1 || asked < 1.5*possible {
		return ""
	}
	from, to := p.begin.Add(p.limitAt+contact), p.begin.Add(min(p.liftAt, dayLength-time.Second))
	n := 0
	for _, s := range p.Servers {
		for _, at := range arrivals(p.CurrentWorker(s)) {
			if at.After(from) && at.Before(to) {
				n++
			}
		}
	}
	if all := possible * to.Sub(from).Seconds(); float64(n) < 0.7*all {
		return fmt.Sprintf("%d of the %.0f that the limits allow were sent", n, all)
	}
	return ""
}

// play plays a day and returns what is wrong.
func (d day) play() (wrong string) {
	synctest.Test(new(testing.T), func(*testing.T) {
		p := &played{Fleet: simfleet.New(d.gateways, d.servers, 1, nil), day: d, replies: map[string]simfleet.Response{}, asked: map[string]time.Time{}}
		defer p.Close()
		p.begin = time.Now()
		var duties sync.WaitGroup
		duties.Go(p.ask)
		duties.Go(p.speak)
		duties.Go(func() {
			var faults sync.WaitGroup
			defer faults.Wait()
			for _, f := range d.faults {
				if f.kind == "kill" || f.kind == "join" {
					continue
				}
				faults.Go(func() { p.suffer(f) })
			}
			// Kills and joins come one after the other.
			slices.SortFunc(d.faults, func(a, b fault) int { return int(a.at - b.at) })
			for _, f := range d.faults {
				if f.kind == "kill" || f.kind == "join" {
					f.at = max(0, f.at-time.Since(p.begin))
					p.suffer(f)
				}
			}
		})
		duties.Wait()
		if wrong = p.wrong(); wrong == "" {
			wrong = p.used()
		}
	})
	return wrong
}

// Whatever happens to gateways, and wherever callers come, servers that state a rate get no more than one
// and a half times it and five in any 4 s; those that leave or rest get nothing from gateways that they
// have told; refusals are true, at once and tell when to come back; and where nothing is in the way, most
// of what the limits allow is used.
func TestFleetsHeedNotices(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := drawDay(t)
		if wrong := d.play(); wrong != "" {
			t.Fatalf("%s\n%+v", wrong, d)
		}
	})
}
