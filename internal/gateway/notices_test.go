package gateway_test

import (
	"fmt"
	"strconv"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/merlinpost/merlinpost/internal/permit"
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
		r.workers[0].Say("Server-Limit: 0.2")
		Expect(ask(r, path, 60)).To(Equal(map[int]int{200: 60}))
		Expect(r.workers[0].Asked()).To(BeNumerically("<=", 3))
	},
		Entry("plain requests", "/again/"),
		Entry("prompts", "/stream/"),
	)

	It("is used as before when it no longer states it", func() {
		r := started(1)
		r.workers[0].Say("Server-Limit: 60")
		Expect(r.post("/once/", "a").status).To(Equal(200))
		r.workers[0].Say()
		Eventually(func() int { return r.post("/once/", "b").status }).Should(Equal(200))
		Expect(ask(r, "/again/", 100)).To(Equal(map[int]int{200: 100}))
	})

	It("has requests refused at once, with when to come back, where there is no other", func() {
		r := started(1)
		r.workers[0].Say("Server-Limit: 0.2")
		Expect(r.post("/once/", "a").status).To(Equal(200))
		refused := r.post("/once/", "b")
		Expect(refused.status).To(Equal(429))
		Expect(refused.body).To(ContainSubstring("server_rate_limit"))
		Expect(refused.body).To(ContainSubstring("not_run"))
		Expect(strconv.ParseFloat(refused.header.Get("Retry-After"), 64)).To(And(BeNumerically(">=", 0.5), BeNumerically("<=", 5)))
		Expect(r.runs()).To(HaveLen(1))
	})

	It("has plain requests ask for leave, which all gateways share", func() {
		r := started(2)
		d := &decider{answers: []permit.Answer{{Verdict: permit.Granted, Engine: "i-1"}}}
		r.gateway.UsePeers(d)
		r.workers[0].Say("Server-Limit: 1")
		Eventually(func() int {
			Expect(r.post("/once/", "a").status).To(Equal(200))
			return len(d.asked())
		}).Should(BeNumerically(">", 0))
		Expect(d.asked()[0].Plain).To(BeTrue())
		Expect(r.gateway.Limited()).To(Equal(map[permit.Group][]string{{Service: "s"}: {"i-0"}}))
	})

	It("goes by its own share where nobody decides", func() {
		r := started(1)
		r.gateway.UsePeers(&decider{answers: []permit.Answer{{Verdict: permit.Granted}}})
		r.workers[0].Say("Server-Limit: 0.2")
		Expect(ask(r, "/again/", 20)).To(Equal(map[int]int{200: 1, 429: 19}))
		Expect(ask(r, "/stream/", 20)).To(Equal(map[int]int{429: 20}))
	})

	It("stands in the lines of requests: what it said, how long ago, to whom", func() {
		r := started(2)
		r.workers[0].Say("Server-Limit: 0.2")
		r.workers[1].Say("Server-Limit: 0.2")
		Expect(ask(r, "/once/", 3)).To(Equal(map[int]int{200: 2, 429: 1}))
		Expect(r.log.String()).To(ContainSubstring(`"msg":"backend server's notice","server":"i-0","kind":"rate_limit","change":"stated","limit":0.2`))
		Expect(r.log.String()).To(ContainSubstring(`"said":{"limited":true,"limit":0.2}`))
		Expect(r.log.String()).To(MatchRegexp(`"request failed".*"notices":\[\{"server":"i-0","limit":0.2,"age":\d+\}`))
	})

	It("leaves what was known where it can't be read", func() {
		r := started(1)
		r.workers[0].Say("Server-Limit: 0.2")
		Expect(r.post("/once/", "a").status).To(Equal(200))
		r.workers[0].Say("Server-Limit: many")
		Expect(ask(r, "/once/", 3)).To(Equal(map[int]int{429: 3}))
	})
})
