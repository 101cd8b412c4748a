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
	// countStatuses sends n requests and returns the number of responses by status.
	countStatuses := func(h *harness, path string, n int) map[int]int {
		out := map[int]int{}
		for i := range n {
			out[h.post(path, fmt.Sprint(path[1:], i)).status]++
		}
		return out
	}

	// startLimited starts a harness in which the token bucket of a server that states a rate limit is initially
	// empty, so that at 0.2 requests per second the next request is allowed after 5 s. In production the initial
	// level is random, so the next request could be allowed at any time.
	startLimited := func(workers int) *harness {
		h := startHarness(workers)
		h.gateway.UseRateLimiter(ratelimit.New(func() float64 { return 0 }))
		return h
	}

	DescribeTable("receives no more requests than that, and all requests succeed if another server has capacity", func(path string) {
		h := startHarness(2)
		h.workers[0].SetHeaders("Server-Limit: 0.2")
		Expect(countStatuses(h, path, 60)).To(Equal(map[int]int{200: 60}))
		Expect(h.workers[0].RequestCount()).To(BeNumerically("<=", 3))
	},
		Entry("plain requests", "/again/"),
		Entry("prompts", "/stream/"),
	)

	It("is no longer limited after a response without a rate limit", func() {
		h := startHarness(1)
		h.workers[0].SetHeaders("Server-Limit: 60")
		Expect(h.post("/once/", "a").status).To(Equal(200))
		h.workers[0].SetHeaders()
		Eventually(func() int { return h.post("/once/", "b").status }).Should(Equal(200))
		Expect(countStatuses(h, "/again/", 100)).To(Equal(map[int]int{200: 100}))
	})

	It("makes the gateway respond with 429 and Retry-After if it is the only server", func() {
		h := startLimited(1)
		h.workers[0].SetHeaders("Server-Limit: 0.2")
		Expect(h.post("/once/", "a").status).To(Equal(200))
		refused := h.post("/once/", "b")
		Expect(refused.status).To(Equal(429))
		Expect(refused.body).To(ContainSubstring("server_rate_limit"))
		Expect(refused.body).To(ContainSubstring("not_run"))
		Expect(strconv.ParseFloat(refused.header.Get("Retry-After"), 64)).To(And(BeNumerically(">=", 0.5), BeNumerically("<=", 5)))
		Expect(h.runs()).To(HaveLen(1))
	})

	It("is reported as the cause if another server refused the request before", func() {
		h := startHarness(2)
		h.workers[1].SetBehaviour(worker.Behaviour{Reject: true})
		h.gateway.UsePeers(&fakePeers{decisions: []permit.Decision{{Verdict: permit.Granted, Engine: "i-1"},
			{Verdict: permit.Refused, RateLimitedEngines: 1, Wait: 3 * time.Second}}})
		h.gateway.SetGateways(1)
		resp := h.post("/stream/", "a")
		Expect(resp.body).To(ContainSubstring("server_rate_limit"))
		Expect(resp.header.Get("Retry-After")).To(Equal("3.000"))
	})

	It("makes plain requests require a permit, because all gateways share the limit", func() {
		h := startHarness(2)
		fake := &fakePeers{decisions: []permit.Decision{{Verdict: permit.Granted, Engine: "i-1"}}}
		h.gateway.UsePeers(fake)
		h.gateway.SetGateways(1)
		h.workers[0].SetHeaders("Server-Limit: 1")
		Eventually(func() int {
			Expect(h.post("/once/", "a").status).To(Equal(200))
			return len(fake.requests())
		}).Should(BeNumerically(">", 0))
		Expect(fake.requests()[0].Plain).To(BeTrue())
		Expect(h.gateway.RateLimitedServers()).To(Equal(map[permit.Group][]string{{Service: "s"}: {"i-0"}}))
	})

	It("is limited to the gateway's own share if no gateway can grant permits", func() {
		h := startLimited(1)
		h.gateway.UsePeers(&fakePeers{decisions: []permit.Decision{{Verdict: permit.Granted}}})
		h.gateway.SetGateways(1)
		h.workers[0].SetHeaders("Server-Limit: 0.2")
		Expect(countStatuses(h, "/again/", 20)).To(Equal(map[int]int{200: 1, 429: 19}))
		Expect(countStatuses(h, "/stream/", 20)).To(Equal(map[int]int{429: 20}))
	})

	It("is logged with the rate limit, its age and the server", func() {
		h := startLimited(2)
		h.workers[0].SetHeaders("Server-Limit: 0.2")
		h.workers[1].SetHeaders("Server-Limit: 0.2")
		Expect(countStatuses(h, "/once/", 3)).To(Equal(map[int]int{200: 2, 429: 1}))
		Expect(h.log.String()).To(ContainSubstring(`"msg":"backend server's notice","server":"i-0","kind":"rate_limit","change":"stated","limit":0.2`))
		Expect(h.log.String()).To(ContainSubstring(`"said":{"limited":true,"limit":0.2}`))
		Expect(h.log.String()).To(MatchRegexp(`"request failed".*"notices":\[\{"server":"i-0","kind":"rate_limit","limit":0.2,"age":\d+\}`))
	})

	It("keeps the previous rate limit if the new one is malformed", func() {
		h := startLimited(1)
		h.workers[0].SetHeaders("Server-Limit: 0.2")
		Expect(h.post("/once/", "a").status).To(Equal(200))
		h.workers[0].SetHeaders("Server-Limit: many")
		Expect(countStatuses(h, "/once/", 3)).To(Equal(map[int]int{429: 3}))
	})
})

var _ = Describe("a server that announces in its responses that it is draining", func() {
	DescribeTable("receives no more requests, although it is listed as ready", func(path string) {
		h := startHarness(2)
		h.workers[0].SetHeaders("Server-Leaving: 1")
		for i := range 20 {
			Expect(h.post(path, fmt.Sprint("a", i)).status).To(Equal(200))
		}
		Expect(h.workers[0].RequestCount()).To(BeNumerically("<=", 1))
	},
		Entry("plain requests", "/once/"),
		Entry("idempotent plain requests", "/again/"),
		Entry("prompts", "/stream/"),
		Entry("prompts of resumable streams", "/resume/"),
	)

	It("is recognized by the headers of a stream, which is still completed", func() {
		h := startHarness(1)
		h.workers[0].SetBehaviour(worker.Behaviour{Events: 20, AbortAfterEvents: -1, EventInterval: 20 * time.Millisecond})
		h.workers[0].SetHeaders("Server-Leaving: 1")
		done := make(chan response, 1)
		go func() { done <- h.post("/stream/", "a") }()
		Eventually(func() string { return h.log.String() }).Should(ContainSubstring(`"kind":"draining","change":"stated"`))
		Expect(done).NotTo(Receive())
		Expect(h.post("/stream/", "b").status).To(Equal(503))
		var resp response
		Eventually(done).Should(Receive(&resp))
		Expect(resp.body).To(Equal(worker.StreamBody("a", 20)))
	})

	It("makes the gateway respond with 503 and Retry-After if it is the only server", func() {
		h := startHarness(1)
		h.workers[0].SetHeaders("Server-Leaving: 1")
		Expect(h.post("/once/", "a").status).To(Equal(200))
		refused := h.post("/once/", "b")
		Expect(refused.status).To(Equal(503))
		Expect(refused.body).To(ContainSubstring("not_run"))
		Expect(strconv.ParseFloat(refused.header.Get("Retry-After"), 64)).To(BeNumerically(">", 0))
		Expect(h.log.String()).To(MatchRegexp(`"request failed".*"notices":\[\{"server":"i-0","kind":"draining","age":\d+\}`))
	})

	It("is not used for a permit that was granted before it announced draining", func() {
		h := startHarness(2)
		fake := &fakePeers{decisions: []permit.Decision{{Verdict: permit.Granted, Engine: "i-0"}, {Verdict: permit.Granted, Engine: "i-1"}}}
		fake.onRequest = func() {
			h.gateway.Notices().ReceiveReport(notice.Report{Server: "i-0", Draining: true}, "edge-b", time.Now())
		}
		h.gateway.UsePeers(fake)
		h.gateway.SetGateways(1)
		Expect(h.post("/stream/", "a").status).To(Equal(200))
		Expect(h.workers[0].RequestCount()).To(BeZero())
		Expect(fake.requests()[1].ExcludedEngines).To(Equal([]string{"i-0"}))
	})

	It("remains listed as an engine that accepts no requests, so that others can fetch cached prompt prefixes from it", func() {
		h := startHarness(2)
		h.gateway.Notices().ReceiveReport(notice.Report{Server: "i-0", Draining: true}, "edge-b", time.Now())
		accepting := map[string]bool{}
		for _, e := range h.gateway.Engines(permit.Group{Service: "s"}) {
			accepting[e.ID] = e.Accepting
		}
		Expect(accepting).To(Equal(map[string]bool{"i-0": false, "i-1": true}))
	})

	It("receives requests again after a restart", func() {
		h := startHarness(1)
		entry := registry.Server{ID: "i-0", Service: "s", Address: h.workers[0].Address(), Slots: 8, StartUnixMs: 1}
		h.servers.Replace([]registry.Server{entry}, time.Now(), time.Time{})
		h.workers[0].SetHeaders("Server-Leaving: 1")
		Expect(h.post("/once/", "a").status).To(Equal(200))
		Expect(h.post("/once/", "b").status).To(Equal(503))
		h.workers[0].SetHeaders()
		entry.StartUnixMs = 2
		h.servers.Replace([]registry.Server{entry}, time.Now(), time.Time{})
		Expect(h.post("/once/", "c").status).To(Equal(200))
	})
})

var _ = Describe("a server that refuses a request with a backoff", func() {
	refusing := worker.Behaviour{Reject: true, RetryAfter: "30"}

	DescribeTable("receives no more requests from the gateway that received the backoff", func(path string) {
		h := startHarness(2)
		h.workers[0].SetBehaviour(refusing)
		for i := range 30 {
			Expect(h.post(path, fmt.Sprint("a", i)).status).To(Equal(200))
		}
		Expect(h.workers[0].RequestCount()).To(BeNumerically("<=", 1))
	},
		Entry("plain requests", "/again/"),
		Entry("prompts", "/stream/"),
	)

	It("makes the gateway respond with 503 and a Retry-After derived from the backoff if all servers do so", func() {
		h := startHarness(2)
		for _, w := range h.workers {
			w.SetBehaviour(worker.Behaviour{Reject: true, RetryAfter: "3"})
		}
		for i := range 4 { // the first requests are refused by the servers
			resp := h.post("/once/", fmt.Sprint("a", i))
			Expect(resp.status).To(BeElementOf(429, 503))
			Expect(resp.body).To(ContainSubstring("not_run"))
		}
		resp := h.post("/once/", "last")
		Expect(resp.status).To(Equal(503))
		Expect(resp.body).To(ContainSubstring("servers_rest"))
		Expect(strconv.ParseFloat(resp.header.Get("Retry-After"), 64)).To(And(BeNumerically(">=", 2.5), BeNumerically("<=", 4.5)))
		Expect(h.workers[0].RequestCount() + h.workers[1].RequestCount()).To(Equal(2))
		Expect(h.log.String()).To(MatchRegexp(`"kind":"backoff","change":"stated","backoff":3000000000`))
		Expect(h.log.String()).To(MatchRegexp(`"kind":"backoff","left":\d+.*"code":"servers_rest"`))
	})

	It("is listed as unusable in permit requests", func() {
		h := startHarness(2)
		fake := &fakePeers{decisions: []permit.Decision{{Verdict: permit.Granted, Engine: "i-0"}, {Verdict: permit.Granted, Engine: "i-1"}}}
		h.gateway.UsePeers(fake)
		h.gateway.SetGateways(1)
		h.workers[0].SetBehaviour(refusing)
		Expect(h.post("/stream/", "a").status).To(Equal(200))
		Expect(h.post("/stream/", "b").status).To(Equal(200))
		Expect(fake.requests()[2].ExcludedEngines).To(Equal([]string{"i-0"}))
	})

	It("does not affect other gateways", func() {
		h := startHarness(1)
		h.workers[0].SetBehaviour(refusing)
		Expect(h.post("/once/", "a").status).To(Equal(503))
		Expect(h.gateway.Notices().AllReports(time.Now())).To(BeEmpty())
	})
})

var _ = Describe("a server whose backoff has ended", func() {
	const backoff = 100 * time.Millisecond

	// startRecovering starts a harness in which all servers have just refused a request with a backoff, and waits
	// until the backoff has ended.
	startRecovering := func(workers int) *harness {
		h := startHarness(workers)
		h.setNextBehaviour(worker.Behaviour{Reject: true, RetryAfter: "0.1"})
		for i := range workers {
			h.post("/once/", fmt.Sprint("refused", i))
		}
		time.Sleep(backoff)
		return h
	}
	// postConcurrently sends n requests at once and returns the number of responses by status.
	postConcurrently := func(h *harness, path string, n int) map[int]int {
		statuses := make(chan int, n)
		for i := range n {
			go func() { statuses <- h.post(path, fmt.Sprint(path[1:], i)).status }()
		}
		out := map[int]int{}
		for range n {
			out[<-statuses]++
		}
		return out
	}

	// Guards against a burst at the end of a backoff, before the first response states a rate limit that the
	// server has set meanwhile.
	DescribeTable("receives one request until it has responded", func(path string) {
		h := startRecovering(1)
		h.gateway.UsePeers(&fakePeers{decisions: []permit.Decision{{Verdict: permit.Granted}}})
		h.gateway.SetGateways(1)
		h.workers[0].SetHeaders("Server-Limit: 0.2")
		before := h.workers[0].RequestCount()
		statuses := postConcurrently(h, path, 30)
		Expect(statuses[200] + statuses[429]).To(Equal(30))
		Expect(h.workers[0].RequestCount() - before).To(BeNumerically("<=", 2)) // the initial level of the token bucket is random
	},
		Entry("plain requests", "/again/"),
		Entry("prompts", "/stream/"),
	)

	// Guards against refusing requests that only have to wait for the first response.
	DescribeTable("serves all requests once it has responded", func(path string) {
		h := startRecovering(2)
		Expect(postConcurrently(h, path, 30)).To(Equal(map[int]int{200: 30}))
	},
		Entry("plain requests", "/once/"),
		Entry("prompts", "/stream/"),
	)

	It("receives the next request at once if the first one gets no response", func() {
		h := startRecovering(1)
		h.workers[0].QueueBehaviours(worker.Behaviour{DropConnection: true}, worker.Behaviour{DropConnection: true})
		statuses := postConcurrently(h, "/once/", 5)
		Expect(statuses[502]).To(Equal(2)) // they may have run
		Expect(h.workers[0].RequestCount()).To(Equal(1 + 5))
	})

	// Guards against using a grant that does not take account of a rate limit in the first response.
	It("requires another permit if it limits its rate in the first response", func() {
		h := startRecovering(2)
		fake := &fakePeers{decisions: []permit.Decision{{Verdict: permit.Granted, Engine: "i-0"}, {Verdict: permit.Granted, Engine: "i-1"}}}
		h.gateway.UsePeers(fake)
		h.gateway.SetGateways(1)
		sentAt := time.Now()
		first, _ := h.gateway.Notices().BeginSend("i-0", sentAt)
		Expect(first).To(BeTrue())
		fake.onRequest = func() {
			time.AfterFunc(backoff, func() {
				h.gateway.Notices().RecordResponse("i-0", notice.ResponseNotices{Limited: true, Limit: 0.2}, sentAt, time.Now())
			})
		}
		before := h.workers[0].RequestCount()
		Expect(h.post("/stream/", "a").status).To(Equal(200))
		Expect(h.workers[0].RequestCount()).To(Equal(before))
		Expect(fake.requests()).To(HaveLen(2))
		Expect(fake.requests()[0].RecoveringEngines).To(ConsistOf("i-0", "i-1"))
	})
})
