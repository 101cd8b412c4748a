package gateway_test

import (
	"context"
	"io"
	"log/slog"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/merlinpost/merlinpost/internal/peers"
	"github.com/merlinpost/merlinpost/internal/permit"
	"github.com/merlinpost/merlinpost/internal/registry"
	"github.com/merlinpost/merlinpost/internal/standin/worker"
)

// decider gives the answers that it is told, the last one again and again.
type decider struct {
	mu      sync.Mutex
	answers []permit.Decision
	asks    []permit.Ask
	during  func() // while an ask waits
}

func (d *decider) RequestPermit(_ context.Context, _ permit.Group, a permit.Ask) (permit.Decision, peers.Permit) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.asks = append(d.asks, a)
	answer := d.answers[0]
	if len(d.answers) > 1 {
		d.answers = d.answers[1:]
	}
	if d.during != nil {
		d.during()
	}
	answer.ID = a.ID
	return answer, peers.Permit{}
}

func (d *decider) BorrowRepeat(context.Context, string, string) bool { return false }

// asked are the asks so far.
func (d *decider) asked() []permit.Ask {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.asks)
}

var _ = Describe("a gateway before it sends a long prompt", func() {
	before := func(workers int, answers ...permit.Decision) (*rig, *decider) {
		r := started(workers)
		d := &decider{answers: answers}
		r.gateway.UsePeers(d)
		r.gateway.SetGateways(1)
		return r, d
	}
	granted := func(engine string) permit.Decision { return permit.Decision{Verdict: permit.Granted, Engine: engine} }

	It("sends it where it was granted", func() {
		r, d := before(3, granted("i-2"))
		Expect(r.post("/report/x", "r1").status).To(Equal(200))
		Expect(r.workers[2].Executions()).To(HaveLen(1))
		Expect(d.asks).To(HaveLen(1))
	})

	It("asks again when the engine has left while it waited", func() {
		r, d := before(3, granted("i-0"), granted("i-1"))
		d.during = func() {
			r.servers.Apply([]registry.Change{{ID: "i-0", Server: &registry.Server{ID: "i-0", Service: "s", Draining: true}}}, time.Now(), time.Time{})
		}
		Expect(r.post("/report/x", "r1").status).To(Equal(200))
		Expect(r.workers[0].Executions()).To(BeEmpty())
		Expect(r.workers[1].Executions()).To(HaveLen(1))
		Expect(d.asks).To(HaveLen(2))
		Expect(d.asks[1].ExcludedEngines).To(ContainElement("i-0"))
		Expect(d.asks[1].ID).NotTo(Equal(d.asks[0].ID))
	})

	It("asks again when the engine has started again while it waited", func() {
		r, d := before(2, granted("i-0"), granted("i-0@2000"))
		d.during = func() {
			r.servers.Apply([]registry.Change{{ID: "i-0", Server: &registry.Server{ID: "i-0", Service: "s",
				Address: r.workers[0].Address(), Slots: 8, StartUnixMs: 2000}}}, time.Now(), time.Time{})
		}
		r.servers.Apply([]registry.Change{{ID: "i-0", Server: &registry.Server{ID: "i-0", Service: "s",
			Address: r.workers[0].Address(), Slots: 8, StartUnixMs: 1000}}}, time.Now(), time.Time{})
		Expect(r.post("/report/x", "r1").status).To(Equal(200))
		Expect(d.asks).To(HaveLen(2)) // "i-0" names no start that is listed
		Expect(d.asks[1].ExcludedEngines).To(ContainElement("i-0"))
		Expect(r.workers[0].Executions()).To(HaveLen(1))
		for _, e := range r.gateway.Engines(permit.Group{Service: "s"}) {
			Expect(e.ID).To(BeElementOf("i-0@2000", "i-1"))
		}
	})

	It("does not go on asking for ever", func() {
		r, d := before(1, granted("i-9"))
		a := r.post("/report/x", "r1")
		Expect(a.status).To(Equal(503))
		Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(len(d.asks)).To(BeNumerically("<", 10))
		Expect(r.runs()).To(BeEmpty())
	})

	It("refuses at once what has no room, with when to come back", func() {
		r, _ := before(2, permit.Decision{Verdict: permit.Refused, Wait: 1500 * time.Millisecond})
		a := r.post("/report/x", "r1")
		Expect(a.status).To(Equal(429))
		Expect(a.header.Get("Retry-After")).To(Equal("1.500"))
		Expect(r.runs()).To(BeEmpty())
	})

	It("sends it where nobody decides", func() {
		r, _ := before(2, permit.Decision{Verdict: permit.Granted})
		Expect(r.post("/report/x", "r1").status).To(Equal(200))
		Expect(r.runs()).To(HaveLen(1))
	})

	It("names the engine that failed it when it asks for another", func() {
		r, d := before(2, granted("i-0"), granted("i-1"))
		r.workers[0].QueueBehaviours(worker.Behaviour{Reject: true})
		Expect(r.post("/report/x", "r1").status).To(Equal(200))
		Expect(d.asks).To(HaveLen(2))
		Expect(d.asks[1].ExcludedEngines).To(Equal([]string{"i-0"}))
		Expect(r.workers[1].Executions()).To(HaveLen(1))
	})

	// Seed 307 of the soak: an interactive request was told 429, as for load, while its
	// engines could not be used.
	It("says that no server is left, and not that there is load, where no engine can be used", func() {
		r, d := before(2, permit.Decision{Verdict: permit.NoEngine, Wait: time.Second})
		a := r.post("/stream/x", "r1")
		Expect(a.status).To(Equal(503))
		Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(d.asks).To(HaveLen(1))
		Expect(r.runs()).To(BeEmpty())
	})

	It("tells who asks of all engines that it knows, also of those that it can't reach", func() {
		r, d := before(2, granted("i-1"))
		r.workers[0].Close()
		d.answers = []permit.Decision{granted("i-0"), granted("i-1")}
		Expect(r.post("/report/x", "r1").status).To(Equal(200)) // i-0 is passed over from here now
		Expect(d.asks[1].ExcludedEngines).To(ContainElement("i-0"))
		engines := r.gateway.Engines(permit.Group{Service: "s"})
		Expect(engines).To(HaveLen(2))
		for _, e := range engines {
			Expect(e.Accepting).To(BeTrue())
		}
	})

	It("decides for itself while it is alone", func() {
		r := started(2)
		p, err := peers.Open("here", "127.0.0.1:0", peers.Capacity{Cores: 0.3}, r.gateway, slog.New(slog.NewTextHandler(io.Discard, nil)))
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		var duty sync.WaitGroup
		duty.Go(func() { p.Run(ctx) })
		DeferCleanup(func() { cancel(); duty.Wait() })
		r.gateway.UsePeers(p)
		r.gateway.SetGateways(1)
		for _, id := range []string{"r1", "r2", "r3"} {
			Expect(r.post("/report/x", id).status).To(Equal(200))
		}
		Expect(r.runs()).To(HaveLen(3))
	})
})
