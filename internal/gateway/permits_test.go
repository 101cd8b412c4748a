package gateway_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/merlinpost/merlinpost/internal/notice"
	"github.com/merlinpost/merlinpost/internal/peers"
	"github.com/merlinpost/merlinpost/internal/permit"
	"github.com/merlinpost/merlinpost/internal/registry"
	"github.com/merlinpost/merlinpost/internal/standin/worker"
)

// fakePeers responds to permit requests with the given decisions in order, and repeats the last one.
type fakePeers struct {
	mu             sync.Mutex
	decisions      []permit.Decision
	permitRequests []permit.Ask
	onRequest      func() // called during each call of RequestPermit
}

func (p *fakePeers) RequestPermit(_ context.Context, _ permit.Group, ask permit.Ask) (permit.Decision, peers.Permit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.permitRequests = append(p.permitRequests, ask)
	decision := p.decisions[0]
	if len(p.decisions) > 1 {
		p.decisions = p.decisions[1:]
	}
	if p.onRequest != nil {
		p.onRequest()
	}
	decision.ID = ask.ID
	return decision, peers.Permit{}
}

func (p *fakePeers) BorrowRetry(context.Context, string, string) bool { return false }

// requests returns the permit requests received so far.
func (p *fakePeers) requests() []permit.Ask {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.permitRequests)
}

var _ = Describe("a gateway that requests permits", func() {
	start := func(workers int, decisions ...permit.Decision) (*harness, *fakePeers) {
		h := startHarness(workers)
		fake := &fakePeers{decisions: decisions}
		h.gateway.UsePeers(fake)
		h.gateway.SetGateways(1)
		return h, fake
	}
	granted := func(engine string) permit.Decision { return permit.Decision{Verdict: permit.Granted, Engine: engine} }

	It("sends the request to the granted engine", func() {
		h, fake := start(3, granted("i-2"))
		Expect(h.post("/report/x", "r1").status).To(Equal(200))
		Expect(h.workers[2].Executions()).To(HaveLen(1))
		Expect(fake.permitRequests).To(HaveLen(1))
	})

	It("requests another permit if the granted engine started draining during the wait", func() {
		h, fake := start(3, granted("i-0"), granted("i-1"))
		fake.onRequest = func() {
			h.servers.Apply([]registry.Change{{ID: "i-0", Server: &registry.Server{ID: "i-0", Service: "s", Draining: true}}}, time.Now(), time.Time{})
		}
		Expect(h.post("/report/x", "r1").status).To(Equal(200))
		Expect(h.workers[0].Executions()).To(BeEmpty())
		Expect(h.workers[1].Executions()).To(HaveLen(1))
		Expect(fake.permitRequests).To(HaveLen(2))
		Expect(fake.permitRequests[1].ExcludedEngines).To(ContainElement("i-0"))
		Expect(fake.permitRequests[1].ID).NotTo(Equal(fake.permitRequests[0].ID))
	})

	It("requests another permit if the granted engine restarted during the wait", func() {
		h, fake := start(2, granted("i-0"), granted("i-0@2000"))
		fake.onRequest = func() {
			h.servers.Apply([]registry.Change{{ID: "i-0", Server: &registry.Server{ID: "i-0", Service: "s",
				Address: h.workers[0].Address(), Slots: 8, StartUnixMs: 2000}}}, time.Now(), time.Time{})
		}
		h.servers.Apply([]registry.Change{{ID: "i-0", Server: &registry.Server{ID: "i-0", Service: "s",
			Address: h.workers[0].Address(), Slots: 8, StartUnixMs: 1000}}}, time.Now(), time.Time{})
		Expect(h.post("/report/x", "r1").status).To(Equal(200))
		Expect(fake.permitRequests).To(HaveLen(2)) // "i-0" is not a listed instance
		Expect(fake.permitRequests[1].ExcludedEngines).To(ContainElement("i-0"))
		Expect(h.workers[0].Executions()).To(HaveLen(1))
		for _, e := range h.gateway.Engines(permit.Group{Service: "s"}) {
			Expect(e.ID).To(BeElementOf("i-0@2000", "i-1"))
		}
	})

	// Guards against requests that wait for several times as long as their callers do.
	It("counts the wait for a permit that it could not use", func() {
		h, fake := start(1, granted("i-9"), granted("i-0"))
		const wait = 200 * time.Millisecond
		fake.onRequest = func() { time.Sleep(wait) }
		Expect(h.post("/report/x", "r1").status).To(Equal(200))
		first, second := fake.permitRequests[0], fake.permitRequests[1]
		Expect(second.FirstTokenTarget).To(BeNumerically("<=", first.FirstTokenTarget-wait))
		Expect(second.FirstTokenTimeout).To(BeNumerically("<=", first.FirstTokenTimeout-wait))
		Expect(second.ResponseTimeout).To(BeNumerically("<=", first.ResponseTimeout-wait))
	})

	// Guards against excluding an engine whose backoff has ended while another group was asked.
	It("lists the engines that it can't use anew for each group", func() {
		h, fake := start(1, permit.Decision{Verdict: permit.Refused}, granted("i-0"))
		var list []registry.Server
		for i := range 70 { // two groups
			list = append(list, registry.Server{ID: fmt.Sprint("i-", i), Service: "s", Address: h.workers[0].Address(), Slots: 8})
		}
		h.servers.Replace(list, time.Now(), time.Time{})
		const backoff = 100 * time.Millisecond
		h.gateway.Notices().RecordResponse("i-0", notice.ResponseNotices{Backoff: backoff}, time.Now(), time.Now())
		fake.onRequest = func() { time.Sleep(backoff) }
		Expect(h.post("/report/x", "r1").status).To(Equal(200))
		first, second := fake.permitRequests[0], fake.permitRequests[1]
		Expect(first.ExcludedEngines).To(Equal([]string{"i-0"}))
		Expect(first.ExcludedFor).To(ConsistOf(And(BeNumerically(">", 0), BeNumerically("<=", backoff))))
		Expect(second.ExcludedEngines).To(BeEmpty())
		Expect(second.RecoveringEngines).To(Equal([]string{"i-0"}))
	})

	It("limits the number of permit requests", func() {
		h, fake := start(1, granted("i-9"))
		resp := h.post("/report/x", "r1")
		Expect(resp.status).To(Equal(503))
		Expect(resp.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(len(fake.permitRequests)).To(BeNumerically("<", 10))
		Expect(h.runs()).To(BeEmpty())
	})

	It("responds with 429 and Retry-After if the permit is refused", func() {
		h, _ := start(2, permit.Decision{Verdict: permit.Refused, Wait: 1500 * time.Millisecond})
		resp := h.post("/report/x", "r1")
		Expect(resp.status).To(Equal(429))
		Expect(resp.header.Get("Retry-After")).To(Equal("1.500"))
		Expect(h.runs()).To(BeEmpty())
	})

	It("logs how long a refused request waited, and why the engines took none", func() {
		h, fake := start(2, permit.Decision{Verdict: permit.Refused, BacklogTokens: 89000, EnginesInBackoff: 2, PrefillingEngines: 1})
		fake.onRequest = func() { time.Sleep(20 * time.Millisecond) }
		Expect(h.post("/report/x", "r1").status).To(Equal(429))
		Expect(h.log.String()).To(MatchRegexp(`"result":"refused","resting":2,"reading":1,"running":0,"unread":89000,"at":\d{8,},"took":\d{8,}`))
	})

	It("chooses a server itself if the permit names no engine", func() {
		h, _ := start(2, permit.Decision{Verdict: permit.Granted})
		Expect(h.post("/report/x", "r1").status).To(Equal(200))
		Expect(h.runs()).To(HaveLen(1))
	})

	It("lists an engine that refused the request in its next permit request", func() {
		h, fake := start(2, granted("i-0"), granted("i-1"))
		h.workers[0].QueueBehaviours(worker.Behaviour{Reject: true})
		Expect(h.post("/report/x", "r1").status).To(Equal(200))
		Expect(fake.permitRequests).To(HaveLen(2))
		Expect(fake.permitRequests[1].ExcludedEngines).To(Equal([]string{"i-0"}))
		Expect(h.workers[1].Executions()).To(HaveLen(1))
	})

	// Guards against status 429, which indicates load, for a request whose engines are all
	// unusable. Observed with an interactive request at seed 307 of the soak test.
	It("responds with 503 rather than 429 if no engine is usable", func() {
		h, fake := start(2, permit.Decision{Verdict: permit.NoEngine, Wait: time.Second})
		resp := h.post("/stream/x", "r1")
		Expect(resp.status).To(Equal(503))
		Expect(resp.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(fake.permitRequests).To(HaveLen(1))
		Expect(h.runs()).To(BeEmpty())
	})

	It("returns all listed engines to peers, including those that it can't reach", func() {
		h, fake := start(2, granted("i-1"))
		h.workers[0].Close()
		fake.decisions = []permit.Decision{granted("i-0"), granted("i-1")}
		Expect(h.post("/report/x", "r1").status).To(Equal(200)) // this gateway avoids i-0 from now on
		Expect(fake.permitRequests[1].ExcludedEngines).To(ContainElement("i-0"))
		engines := h.gateway.Engines(permit.Group{Service: "s"})
		Expect(engines).To(HaveLen(2))
		for _, e := range engines {
			Expect(e.Accepting).To(BeTrue())
		}
	})

	It("grants its own permits if there are no other gateways", func() {
		h := startHarness(2)
		p, err := peers.Open("here", "127.0.0.1:0", peers.Capacity{Cores: 0.3}, h.gateway, slog.New(slog.NewTextHandler(io.Discard, nil)))
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { p.Run(ctx) })
		DeferCleanup(func() { cancel(); running.Wait() })
		h.gateway.UsePeers(p)
		h.gateway.SetGateways(1)
		for _, id := range []string{"r1", "r2", "r3"} {
			Expect(h.post("/report/x", id).status).To(Equal(200))
		}
		Expect(h.runs()).To(HaveLen(3))
	})
})
