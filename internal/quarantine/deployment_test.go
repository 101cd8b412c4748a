//go:build !race

package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/merlinpost/merlinpost/internal/quarantine"
	"github.com/merlinpost/merlinpost/internal/standin/simfleet"
	"github.com/merlinpost/merlinpost/internal/standin/worker"
)

const (
	// fatal is the body of a request that ends the server which begins it, after endsAfter.
	fatal     = "a prompt that ends every engine"
	endsAfter = 60 * time.Millisecond
	// downFor is how long a server is away then.
	downFor = 2500 * time.Millisecond
	// firstKnown is how long a server's end takes to be known to all gateways.
	firstKnown = 10 * time.Millisecond
)

// deployment is a fleet whose servers a fatal request ends. It lives in a synctest bubble.
type deployment struct {
	*simfleet.Fleet

	mu      sync.Mutex
	fatal   bool        // the fatal request still ends servers
	ends    []time.Time // of servers by the fatal request
	answers map[string]int
	refused []string // IDs of harmless requests that were told that they are quarantined
}

func deploy(gateways, servers int, seed uint64) *deployment {
	d := &deployment{fatal: true, answers: map[string]int{}}
	d.Fleet = simfleet.New(gateways, servers, seed, d.watch)
	return d
}

// watch has a start of a server end by the fatal request.
func (d *deployment) watch(s *simfleet.Server, w *worker.Worker) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fatal {
		w.CrashOn(fatal, endsAfter, func() { d.fatalEnd(s, w) })
	}
}

// fatalEnd notes that the fatal request has ended a server.
func (d *deployment) fatalEnd(s *simfleet.Server, w *worker.Worker) {
	if d.CurrentWorker(s) != w {
		return // it has ended by itself meanwhile
	}
	d.mu.Lock()
	d.ends = append(d.ends, time.Now())
	d.mu.Unlock()
	d.endServer(s)
}

// endServer ends a server without a word; it comes back as another start.
func (d *deployment) endServer(s *simfleet.Server) {
	if d.KillServer(s) {
		d.Go(func() {
			if d.Sleep(downFor) {
				d.StartServer(s)
			}
		})
	}
}

// heal has the fatal request end no more servers.
func (d *deployment) heal() {
	d.mu.Lock()
	d.fatal = false
	d.mu.Unlock()
	for _, s := range d.Servers {
		if w := d.CurrentWorker(s); w != nil {
			w.CrashOn("", 0, nil)
		}
	}
}

// askFatal asks for the fatal request at a pace until a time, at gateways drawn at random, and
// returns what callers got last.
func (d *deployment) askFatal(kind string, every, until time.Duration) (last simfleet.Response) {
	var asked sync.WaitGroup
	var mu sync.Mutex
	end := time.Now().Add(until)
	for i := 0; time.Now().Before(end); i++ {
		n := d.Nodes[d.RandIntN(len(d.Nodes))]
		id := fmt.Sprintf("fatal-%d-%d", d.NextID(), i)
		asked.Go(func() {
			r := d.SendRequest(n, kind, id, fatal)
			mu.Lock()
			last = r
			mu.Unlock()
		})
		time.Sleep(every)
	}
	asked.Wait()
	return last
}

// askHarmless asks for so many bodies in turn at a pace until a time.
func (d *deployment) askHarmless(kind string, bodies int, every, until time.Duration) {
	var asked sync.WaitGroup
	rnd := rand.New(rand.NewPCG(7, uint64(bodies)))
	end := time.Now().Add(until)
	for i := 0; time.Now().Before(end); i++ {
		n := d.Nodes[rnd.IntN(len(d.Nodes))]
		id := fmt.Sprintf("harmless-%s-%d", kind, d.NextID())
		asked.Go(func() {
			r := d.SendRequest(n, kind, id, fmt.Sprint("question ", i%bodies))
			d.mu.Lock()
			defer d.mu.Unlock()
			d.answers[fmt.Sprint(r.Status, " ", r.Code)]++
			if r.Code == "quarantined" {
				d.refused = append(d.refused, id)
			}
		})
		time.Sleep(every)
	}
	asked.Wait()
}

// quarantined returns the verdicts that a gateway knows.
func quarantined(n *simfleet.Node) []quarantine.QuarantinedRequest {
	list, _ := n.Gateway().Quarantine().List()
	return list
}

// ended is how many servers the fatal request has ended.
func (d *deployment) ended() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.ends)
}
