package gateway_test

import (
	"fmt"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/merlinpost/merlinpost/internal/notice"
	"github.com/merlinpost/merlinpost/internal/permit"
	"github.com/merlinpost/merlinpost/internal/registry"
	"github.com/merlinpost/merlinpost/internal/standin/worker"
)

var _ = Describe("a server that states a rate in its answers", func() {
	// ask sends so many requests and counts the statuses that came.
	ask := func(r *rig, path string, n int) map[int]int {
		out := map[int]int{}
		for i := range n {
			out[r.post(path, fmt.Sprint(path[1:], i)).status]++
		}
		return out
	}

	DescribeTable("gets no more, and callers notice nothing where another has room", func(path string) {
		r := started(2)
		r.workers[0].SetHeaders("Server-Limit: 0.2")
		Expect(ask(r, path, 60)).To(Equal(map[int]int{200: 60}))
		Expect(r.workers[0].RequestCount()).To(BeNumerically("<=", 3))
	},
		Entry("plain requests", "/again/"),
		Entry("prompts", "/stream/"),
	)

	It("is used as before when it no longer states it", func() {
		r := started(1)
		r.workers[0].SetHeaders("Server-Limit: 60")
		Expect(r.post("/once/", "a").status).To(Equal(200))
		r.workers[0].SetHeaders()
		Eventually(func() int { return r.post("/once/", "b").status }).Should(Equal(200))
		Expect(ask(r, "/again/", 100)).To(Equal(map[int]int{200: 100}))
	})

	It("has requests refused at once, with when to come back, where there is no other", func() {
		r := started(1)
		r.workers[0].SetHeaders("Server-Limit: 0.2")
		Expect(r.post("/once/", "a").status).To(Equal(200))
		refused := r.post("/once/", "b")
		Expect(refused.status).To(Equal(429))
		Expect(refused.body).To(ContainSubstring("server_rate_limit"))
		Expect(refused.body).To(ContainSubstring("not_run"))
		Expect(strconv.ParseFloat(refused.header.Get("Retry-After"), 64)).To(And(BeNumerically(">=", 0.5), BeNumerically("<=", 5)))
		Expect(r.runs()).To(HaveLen(1))
	})

	It("is why a request is refused that another server has turned away", func() {
		r := started(2)
		r.workers[1].SetBehaviour(worker.Behaviour{Reject: true})
		r.gateway.UsePeers(&decider{answers: []permit.Decision{{Verdict: permit.Granted, Engine: "i-1"},
			{Verdict: permit.Refused, RateLimitedEngines: 1, Wait: 3 * time.Second}}})
		r.gateway.SetGateways(1)
		a := r.post("/stream/", "a")
		Expect(a.body).To(ContainSubstring("server_rate_limit"))
		Expect(a.header.Get("Retry-After")).To(Equal("3.000"))
	})

	It("has plain requests ask for leave, which all gateways share", func() {
		r := started(2)
		d := &decider{answers: []permit.Decision{{Verdict: permit.Granted, Engine: "i-1"}}}
		r.gateway.UsePeers(d)
		r.gateway.SetGateways(1)
		r.workers[0].SetHeaders("Server-Limit: 1")
		Eventually(func() int {
			Expect(r.post("/once/", "a").status).To(Equal(200))
			return len(d.asked())
		}).Should(BeNumerically(">", 0))
		Expect(d.asked()[0].Plain).To(BeTrue())
		Expect(r.gateway.RateLimitedServers()).To(Equal(map[permit.Group][]string{{Service: "s"}: {"i-0"}}))
	})

	It("goes by its own share where nobody decides", func() {
		r := started(1)
		r.gateway.UsePeers(&decider{answers: []permit.Decision{{Verdict: permit.Granted}}})
		r.gateway.SetGateways(1)
		r.workers[0].SetHeaders("Server-Limit: 0.2")
		Expect(ask(r, "/again/", 20)).To(Equal(map[int]int{200: 1, 429: 19}))
		Expect(ask(r, "/stream/", 20)).To(Equal(map[int]int{429: 20}))
	})

	It("stands in the lines of requests: what it said, how long ago, to whom", func() {
		r := started(2)
		r.workers[0].SetHeaders("Server-Limit: 0.2")
		r.workers[1].SetHeaders("Server-Limit: 0.2")
		Expect(ask(r, "/once/", 3)).To(Equal(map[int]int{200: 2, 429: 1}))
		Expect(r.log.String()).To(ContainSubstring(`"msg":"backend server's notice","server":"i-0","kind":"rate_limit","change":"stated","limit":0.2`))
		Expect(r.log.String()).To(ContainSubstring(`"said":{"limited":true,"limit":0.2}`))
		Expect(r.log.String()).To(MatchRegexp(`"request failed".*"notices":\[\{"server":"i-0","kind":"rate_limit","limit":0.2,"age":\d+\}`))
	})

	It("leaves what was known where it can't be read", func() {
		r := started(1)
		r.workers[0].SetHeaders("Server-Limit: 0.2")
		Expect(r.post("/once/", "a").status).To(Equal(200))
		r.workers[0].SetHeaders("Server-Limit: many")
		Expect(ask(r, "/once/", 3)).To(Equal(map[int]int{429: 3}))
	})
})

var _ = Describe("a server that says in its answers that it leaves", func() {
	DescribeTable("gets nothing more, though it is listed as ready", func(path string) {
		r := started(2)
		r.workers[0].SetHeaders("Server-Leaving: 1")
		for i := range 20 {
			Expect(r.post(path, fmt.Sprint("a", i)).status).To(Equal(200))
		}
		Expect(r.workers[0].RequestCount()).To(BeNumerically("<=", 1))
	},
		Entry("plain requests", "/once/"),
		Entry("plain requests that may be repeated", "/again/"),
		Entry("prompts", "/stream/"),
		Entry("prompts of streams that may go on elsewhere", "/resume/"),
	)

	It("is heard with the head of a stream, which ends whole", func() {
		r := started(1)
		r.workers[0].SetBehaviour(worker.Behaviour{Events: 20, AbortAfterEvents: -1, EventInterval: 20 * time.Millisecond})
		r.workers[0].SetHeaders("Server-Leaving: 1")
		whole := make(chan answer, 1)
		go func() { whole <- r.post("/stream/", "a") }()
		Eventually(func() string { return r.log.String() }).Should(ContainSubstring(`"kind":"draining","change":"stated"`))
		Expect(whole).NotTo(Receive())
		Expect(r.post("/stream/", "b").status).To(Equal(503))
		var a answer
		Eventually(whole).Should(Receive(&a))
		Expect(a.body).To(Equal(worker.StreamBody("a", 20)))
	})

	It("has requests refused at once, with when to come back, where there is no other", func() {
		r := started(1)
		r.workers[0].SetHeaders("Server-Leaving: 1")
		Expect(r.post("/once/", "a").status).To(Equal(200))
		refused := r.post("/once/", "b")
		Expect(refused.status).To(Equal(503))
		Expect(refused.body).To(ContainSubstring("not_run"))
		Expect(strconv.ParseFloat(refused.header.Get("Retry-After"), 64)).To(BeNumerically(">", 0))
		Expect(r.log.String()).To(MatchRegexp(`"request failed".*"notices":\[\{"server":"i-0","kind":"draining","age":\d+\}`))
	})

	It("is not granted to what has waited for leave meanwhile", func() {
		r := started(2)
		d := &decider{answers: []permit.Decision{{Verdict: permit.Granted, Engine: "i-0"}, {Verdict: permit.Granted, Engine: "i-1"}}}
		d.during = func() {
			r.gateway.Notices().Receive(notice.Report{Server: "i-0", Draining: true}, "edge-b", time.Now())
		}
		r.gateway.UsePeers(d)
		r.gateway.SetGateways(1)
		Expect(r.post("/stream/", "a").status).To(Equal(200))
		Expect(r.workers[0].RequestCount()).To(BeZero())
		Expect(d.asked()[1].ExcludedEngines).To(Equal([]string{"i-0"}))
	})

	It("still holds parts of prompts that others may fetch", func() {
		r := started(2)
		r.gateway.Notices().Receive(notice.Report{Server: "i-0", Draining: true}, "edge-b", time.Now())
		open := map[string]bool{}
		for _, e := range r.gateway.Engines(permit.Group{Service: "s"}) {
			open[e.ID] = e.Accepting
		}
		Expect(open).To(Equal(map[string]bool{"i-0": false, "i-1": true}))
	})

	It("serves again as another start", func() {
		r := started(1)
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

var _ = Describe("a server that wants nothing for a while", func() {
	refusing := worker.Behaviour{Reject: true, RetryAfter: "30"}

	DescribeTable("is left alone by the gateway that it answered", func(path string) {
		r := started(2)
		r.workers[0].SetBehaviour(refusing)
		for i := range 30 {
			Expect(r.post(path, fmt.Sprint("a", i)).status).To(Equal(200))
		}
		Expect(r.workers[0].RequestCount()).To(BeNumerically("<=", 1))
	},
		Entry("plain requests", "/again/"),
		Entry("prompts", "/stream/"),
	)

	It("has requests refused at once where all do, told when the first takes requests again", func() {
		r := started(2)
		for _, w := range r.workers {
			w.SetBehaviour(worker.Behaviour{Reject: true, RetryAfter: "3"})
		}
		for i := range 4 { // the first ones are turned away by the servers
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

	It("is named to who decides as not usable from here", func() {
		r := started(2)
		d := &decider{answers: []permit.Decision{{Verdict: permit.Granted, Engine: "i-0"}, {Verdict: permit.Granted, Engine: "i-1"}}}
		r.gateway.UsePeers(d)
		r.gateway.SetGateways(1)
		r.workers[0].SetBehaviour(refusing)
		Expect(r.post("/stream/", "a").status).To(Equal(200))
		Expect(r.post("/stream/", "b").status).To(Equal(200))
		Expect(d.asked()[2].ExcludedEngines).To(Equal([]string{"i-0"}))
	})

	It("binds no other gateway", func() {
		r := started(1)
		r.workers[0].SetBehaviour(refusing)
		Expect(r.post("/once/", "a").status).To(Equal(503))
		Expect(r.gateway.Notices().All(time.Now())).To(BeEmpty())
	})
})
