package gateway_test

import (
	"fmt"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/merlinpost/merlinpost/internal/notice"
	"github.com/merlinpost/merlinpost/internal/permit"
	"github.com/merlinpost/merlinpost/internal/ratelimit"
	"github.com/merlinpost/merlinpost/internal/registry"
	"github.com/merlinpost/merlinpost/internal/standin/worker"
)

var _ = Describe("a server that states a rate limit in its responses", func() {
	// ask sends n requests and returns the number of responses by status.
	ask := func(r *harness, path string, n int) map[int]int {
		out := map[int]int{}
		for i := range n {
			out[r.post(path, fmt.Sprint(path[1:], i)).status]++
		}
		return out
	}

	// startLimited starts a harness in which the token bucket of a server that states a rate limit is empty
	// at first, so that at 0.2 requests a second the next request is allowed after 5 s. At a random level,
	// as in production, it could be allowed at any time.
	startLimited := func(workers int) *harness {
		r := startHarness(workers)
		r.gateway.UseRateLimiter(ratelimit.New(func() float64 { return 0 }))
		return r
	}

	DescribeTable("gets no more than that, and all requests succeed if another server has capacity", func(path string) {
		r := startHarness(2)
		r.workers[0].SetHeaders("Server-Limit: 0.2")
		Expect(ask(r, path, 60)).To(Equal(map[int]int{200: 60}))
		Expect(r.workers[0].RequestCount()).To(BeNumerically("<=", 3))
	},
		Entry("plain requests", "/again/"),
		Entry("prompts", "/stream/"),
	)

	It("is not limited any more after a response without a rate limit", func() {
		r := startHarness(1)
		r.workers[0].SetHeaders("Server-Limit: 60")
		Expect(r.post("/once/", "a").status).To(Equal(200))
		r.workers[0].SetHeaders()
		Eventually(func() int { return r.post("/once/", "b").status }).Should(Equal(200))
		Expect(ask(r, "/again/", 100)).To(Equal(map[int]int{200: 100}))
	})

	It("makes the gateway respond with 429 and Retry-After if it is the only server", func() {
		r := startLimited(1)
		r.workers[0].SetHeaders("Server-Limit: 0.2")
		Expect(r.post("/once/", "a").status).To(Equal(200))
		refused := r.post("/once/", "b")
		Expect(refused.status).To(Equal(429))
		Expect(refused.body).To(ContainSubstring("server_rate_limit"))
		Expect(refused.body).To(ContainSubstring("not_run"))
		Expect(strconv.ParseFloat(refused.header.Get("Retry-After"), 64)).To(And(BeNumerically(">=", 0.5), BeNumerically("<=", 5)))
		Expect(r.runs()).To(HaveLen(1))
	})

	It("is reported as the cause if another server refused the request before", func() {
		r := startHarness(2)
		r.workers[1].SetBehaviour(worker.Behaviour{Reject: true})
		r.gateway.UsePeers(&fakePeers{decisions: []permit.Decision{{Verdict: permit.Granted, Engine: "i-1"},
			{Verdict: permit.Refused, RateLimitedEngines: 1, Wait: 3 * time.Second}}})
		r.gateway.SetGateways(1)
		a := r.post("/stream/", "a")
		Expect(a.body).To(ContainSubstring("server_rate_limit"))
		Expect(a.header.Get("Retry-After")).To(Equal("3.000"))
	})

	It("makes plain requests require a permit, because all gateways share the limit", func() {
		r := startHarness(2)
		d := &fakePeers{decisions: []permit.Decision{{Verdict: permit.Granted, Engine: "i-1"}}}
		r.gateway.UsePeers(d)
		r.gateway.SetGateways(1)
		r.workers[0].SetHeaders("Server-Limit: 1")
		Eventually(func() int {
			Expect(r.post("/once/", "a").status).To(Equal(200))
			return len(d.requests())
		}).Should(BeNumerically(">", 0))
		Expect(d.requests()[0].Plain).To(BeTrue())
		Expect(r.gateway.RateLimitedServers()).To(Equal(map[permit.Group][]string{{Service: "s"}: {"i-0"}}))
	})

	It("is limited to the gateway's own share if no gateway can grant permits", func() {
		r := startLimited(1)
		r.gateway.UsePeers(&fakePeers{decisions: []permit.Decision{{Verdict: permit.Granted}}})
		r.gateway.SetGateways(1)
		r.workers[0].SetHeaders("Server-Limit: 0.2")
		Expect(ask(r, "/again/", 20)).To(Equal(map[int]int{200: 1, 429: 19}))
		Expect(ask(r, "/stream/", 20)).To(Equal(map[int]int{429: 20}))
	})

	It("is logged with the rate limit, its age and the server", func() {
		r := startLimited(2)
		r.workers[0].SetHeaders("Server-Limit: 0.2")
		r.workers[1].SetHeaders("Server-Limit: 0.2")
		Expect(ask(r, "/once/", 3)).To(Equal(map[int]int{200: 2, 429: 1}))
		Expect(r.log.String()).To(ContainSubstring(`"msg":"backend server's notice","server":"i-0","kind":"rate_limit","change":"stated","limit":0.2`))
		Expect(r.log.String()).To(ContainSubstring(`"said":{"limited":true,"limit":0.2}`))
		Expect(r.log.String()).To(MatchRegexp(`"request failed".*"notices":\[\{"server":"i-0","kind":"rate_limit","limit":0.2,"age":\d+\}`))
	})

	It("keeps the previous rate limit if the new one is malformed", func() {
		r := startLimited(1)
		r.workers[0].SetHeaders("Server-Limit: 0.2")
		Expect(r.post("/once/", "a").status).To(Equal(200))
		r.workers[0].SetHeaders("Server-Limit: many")
		Expect(ask(r, "/once/", 3)).To(Equal(map[int]int{429: 3}))
	})
})

var _ = Describe("a server that announces in its responses that it is draining", func() {
	DescribeTable("gets no more requests, although it is listed as ready", func(path string) {
		r := startHarness(2)
		r.workers[0].SetHeaders("Server-Leaving: 1")
		for i := range 20 {
			Expect(r.post(path, fmt.Sprint("a", i)).status).To(Equal(200))
		}
		Expect(r.workers[0].RequestCount()).To(BeNumerically("<=", 1))
	},
		Entry("plain requests", "/once/"),
		Entry("idempotent plain requests", "/again/"),
		Entry("prompts", "/stream/"),
		Entry("prompts of resumable streams", "/resume/"),
	)

	It("is recognized by the headers of a stream, which is still completed", func() {
		r := startHarness(1)
		r.workers[0].SetBehaviour(worker.Behaviour{Events: 20, AbortAfterEvents: -1, EventInterval: 20 * time.Millisecond})
		r.workers[0].SetHeaders("Server-Leaving: 1")
		done := make(chan answer, 1)
		go func() { done <- r.post("/stream/", "a") }()
		Eventually(func() string { return r.log.String() }).Should(ContainSubstring(`"kind":"draining","change":"stated"`))
		Expect(done).NotTo(Receive())
		Expect(r.post("/stream/", "b").status).To(Equal(503))
		var a answer
		Eventually(done).Should(Receive(&a))
		Expect(a.body).To(Equal(worker.StreamBody("a", 20)))
	})

	It("makes the gateway respond with 503 and Retry-After if it is the only server", func() {
		r := startHarness(1)
		r.workers[0].SetHeaders("Server-Leaving: 1")
		Expect(r.post("/once/", "a").status).To(Equal(200))
		refused := r.post("/once/", "b")
		Expect(refused.status).To(Equal(503))
		Expect(refused.body).To(ContainSubstring("not_run"))
		Expect(strconv.ParseFloat(refused.header.Get("Retry-After"), 64)).To(BeNumerically(">", 0))
		Expect(r.log.String()).To(MatchRegexp(`"request failed".*"notices":\[\{"server":"i-0","kind":"draining","age":\d+\}`))
	})

	It("is not used for a permit that was granted before it announced draining", func() {
		r := startHarness(2)
		d := &fakePeers{decisions: []permit.Decision{{Verdict: permit.Granted, Engine: "i-0"}, {Verdict: permit.Granted, Engine: "i-1"}}}
		d.onRequest = func() {
			r.gateway.Notices().ReceiveReport(notice.Report{Server: "i-0", Draining: true}, "edge-b", time.Now())
		}
		r.gateway.UsePeers(d)
		r.gateway.SetGateways(1)
		Expect(r.post("/stream/", "a").status).To(Equal(200))
		Expect(r.workers[0].RequestCount()).To(BeZero())
		Expect(d.requests()[1].ExcludedEngines).To(Equal([]string{"i-0"}))
	})

	It("remains listed as a closed engine, so that others can fetch cached prompt parts from it", func() {
		r := startHarness(2)
		r.gateway.Notices().ReceiveReport(notice.Report{Server: "i-0", Draining: true}, "edge-b", time.Now())
		open := map[string]bool{}
		for _, e := range r.gateway.Engines(permit.Group{Service: "s"}) {
			open[e.ID] = e.Accepting
		}
		Expect(open).To(Equal(map[string]bool{"i-0": false, "i-1": true}))
	})

	It("gets requests again after a restart", func() {
		r := startHarness(1)
		entry := registry.Server{ID: "i-0", Service: "s", Address: r.workers[0].Address(), Slots: 8, StartUnixMs: 1}
		r.servers.Replace([]registry.Server{entry}, time.Now(), time.Time{})
		r.workers[0].SetHeaders("Server-Leaving: 1")
		Expect(r.post("/once/", "a").status).To(Equal(200))
		Expect(r.post("/once/", "b").status).To(Equal(503))
		r.workers[0].SetHeaders()
		entry.StartUnixMs = 2
		r.servers.Replace([]registry.Server{entry}, time.Now(), time.Time{})
		Expect(r.post("/once/", "c").status).To(Equal(200))
	})
})

var _ = Describe("a server that refuses a request with a backoff", func() {
	refusing := worker.Behaviour{Reject: true, RetryAfter: "30"}

	DescribeTable("gets no more requests from the gateway that received the backoff", func(path string) {
		r := startHarness(2)
		r.workers[0].SetBehaviour(refusing)
		for i := range 30 {
			Expect(r.post(path, fmt.Sprint("a", i)).status).To(Equal(200))
		}
		Expect(r.workers[0].RequestCount()).To(BeNumerically("<=", 1))
	},
		Entry("plain requests", "/again/"),
		Entry("prompts", "/stream/"),
	)

	It("makes the gateway respond with 503 and a Retry-After derived from the backoff if all servers do so", func() {
		r := startHarness(2)
		for _, w := range r.workers {
			w.SetBehaviour(worker.Behaviour{Reject: true, RetryAfter: "3"})
		}
		for i := range 4 { // the first requests are refused by the servers
			a := r.post("/once/", fmt.Sprint("a", i))
			Expect(a.status).To(BeElementOf(429, 503))
			Expect(a.body).To(ContainSubstring("not_run"))
		}
		a := r.post("/once/", "last")
		Expect(a.status).To(Equal(503))
		Expect(a.body).To(ContainSubstring("servers_rest"))
		Expect(strconv.ParseFloat(a.header.Get("Retry-After"), 64)).To(And(BeNumerically(">=", 2.5), BeNumerically("<=", 4.5)))
		Expect(r.workers[0].RequestCount() + r.workers[1].RequestCount()).To(Equal(2))
		Expect(r.log.String()).To(MatchRegexp(`"kind":"backoff","change":"stated","backoff":3000000000`))
		Expect(r.log.String()).To(MatchRegexp(`"kind":"backoff","left":\d+.*"code":"servers_rest"`))
	})

	It("is listed as unusable in permit requests", func() {
		r := startHarness(2)
		d := &fakePeers{decisions: []permit.Decision{{Verdict: permit.Granted, Engine: "i-0"}, {Verdict: permit.Granted, Engine: "i-1"}}}
		r.gateway.UsePeers(d)
		r.gateway.SetGateways(1)
		r.workers[0].SetBehaviour(refusing)
		Expect(r.post("/stream/", "a").status).To(Equal(200))
		Expect(r.post("/stream/", "b").status).To(Equal(200))
		Expect(d.requests()[2].ExcludedEngines).To(Equal([]string{"i-0"}))
	})

	It("does not affect other gateways", func() {
		r := startHarness(1)
		r.workers[0].SetBehaviour(refusing)
		Expect(r.post("/once/", "a").status).To(Equal(503))
		Expect(r.gateway.Notices().AllReports(time.Now())).To(BeEmpty())
	})
})
