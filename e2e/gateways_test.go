package e2e

import (
	"context"
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/merlinpost/merlinpost/internal/standin/platformstore"
	"github.com/merlinpost/merlinpost/internal/standin/worker"
)

func TestGateways(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(waitTimeout)
	RunSpecs(t, "gateways as processes")
}

var _ = Describe("gateways as processes", func() {
	ctx := context.Background()
	up := func(gateways, llms, apps int) *fleet {
		f, err := newFleet(GinkgoT().TempDir(), fleetSize{gateways: gateways, llms: llms, apps: apps})
		if f != nil {
			DeferCleanup(f.close)
		}
		Expect(err).NotTo(HaveOccurred())
		return f
	}
	served := func(f *fleet, g *gatewayProc, route, id string) {
		GinkgoHelper()
		a := f.send(ctx, g, route, id)
		Expect(a.err).NotTo(HaveOccurred())
		Expect(a.status).To(Equal(200), a.body)
		Expect(a.body).To(Equal(wantBody(route, id)))
	}

	It("serve all kinds of request", func() {
		f := up(2, 2, 2)
		for i, route := range []string{"post", "list", "advice", "report"} {
			for j, g := range f.gateways {
				served(f, g, route, fmt.Sprint("r", i, j))
			}
		}
	})

	It("finish accepted requests on SIGTERM and stop reporting ready at once", func() {
		f := up(2, 1, 1)
		g := f.gateways[0]
		f.workers[0].SetBehaviour(worker.Behaviour{Events: streamEvents, AbortAfterEvents: -1, EventInterval: 100 * time.Millisecond})
		answer := make(chan fleetResponse, 1)
		go func() { answer <- f.send(ctx, g, "advice", "long") }()
		Eventually(f.workers[0].Executions).Should(HaveLen(1))
		Expect(g.cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
		Eventually(func() bool { return f.ready(g) }).Should(BeFalse())
		served(f, g, "post", "while-stopping") // the load balancer may still send requests
		var a fleetResponse
		Eventually(answer).Should(Receive(&a))
		Expect(a.err).NotTo(HaveOccurred())
		Expect(a.body).To(Equal(wantBody("advice", "long")))
		Eventually(g.exited).Should(BeClosed())
		Expect(g.code).To(Equal(0))
		served(f, f.gateways[1], "post", "elsewhere")
	})

	It("exit within their grace time and answer all requests in progress", func() {
		f := up(1, 1, 1)
		g := f.gateways[0]
		Expect(f.writeSettings(g, 2)).To(Succeed())
		Eventually(g.log.String).Should(ContainSubstring("settings reloaded"))
		// The engine has two slots, so that the third request is queued.
		engine := f.workers[0]
		f.slotOverrides[engine.ID] = 2
		Expect(f.register(engine, llmService, "draining")).To(Succeed())
		Eventually(func() int { return f.send(ctx, g, "advice", "drained").status }).Should(Equal(503))
		Expect(f.register(engine, llmService, "ready")).To(Succeed())
		Eventually(func() int { return f.send(ctx, g, "advice", "back").status }).Should(Equal(200))
		engine.SetBehaviour(worker.Behaviour{Hang: true})
		before := len(engine.Executions())
		hanging, queued := make(chan fleetResponse, 1), make(chan fleetResponse, 1)
		go func() { hanging <- f.send(ctx, g, "advice", "hanging") }()
		go func() { queued <- f.send(ctx, g, "report", "read-1") }()
		Eventually(engine.Executions).Should(HaveLen(before + 2))
		go func() { queued <- f.send(ctx, g, "report", "waits-1") }() // for a slot
		begin := time.Now()
		Expect(g.cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
		Eventually(g.exited).Should(BeClosed())
		Expect(time.Since(begin)).To(BeNumerically("<", 2*time.Second))
		// Each request gets a response: 502 for the two that may have run, 503
		// for the queued one.
		statuses := []int{}
		for _, ch := range []chan fleetResponse{hanging, queued, queued} {
			var a fleetResponse
			Eventually(ch).Should(Receive(&a))
			Expect(a.err).NotTo(HaveOccurred())
			statuses = append(statuses, a.status)
		}
		Expect(statuses).To(ConsistOf(502, 502, 503))
	})

	It("reload their settings and keep the last valid ones", func() {
		f := up(1, 1, 1)
		g := f.gateways[0]
		Expect(f.writeSettings(g, 4)).To(Succeed())
		Expect(g.cmd.Process.Signal(syscall.SIGHUP)).To(Succeed())
		Eventually(g.log.String).Should(ContainSubstring("settings reloaded"))
		Expect(f.writeSettings(g, 0)).To(Succeed())
		Eventually(g.log.String).Should(ContainSubstring("settings rejected")) // without a signal
		Expect(g.log.String()).To(ContainSubstring("bounds.grace_s"))
		served(f, g, "post", "after")
	})

	It("recover after all were killed, also if the store is unavailable meanwhile", func() {
		f := up(3, 1, 1)
		for _, g := range f.gateways {
			f.kill(g)
		}
		f.store.SetMode(platformstore.ModeUnavailable)
		for _, g := range f.gateways {
			Expect(f.start(g)).To(Succeed())
		}
		g := f.gateways[0]
		Eventually(func() int { return f.send(ctx, g, "post", "early").status }).Should(Equal(503))
		Expect(f.ready(g)).To(BeFalse())
		f.store.SetMode(platformstore.ModeAvailable)
		Expect(f.waitReady()).To(Succeed())
		for i, g := range f.gateways {
			served(f, g, "post", fmt.Sprint("back", i))
		}
		Expect(f.workers[1].Executions()).To(HaveLen(3))
	})

	It("serve all kinds of request as soon as they are ready after all were killed at once", func() {
		f := up(12, 3, 2)
		for _, g := range f.gateways {
			f.kill(g)
		}
		for _, g := range f.gateways {
			Expect(f.start(g)).To(Succeed())
		}
		Expect(f.waitReady()).To(Succeed())
		for i, g := range f.gateways {
			for _, route := range []string{"post", "list", "advice", "report"} {
				served(f, g, route, fmt.Sprint("again-", i))
			}
		}
	})

	It("can be replaced by gateways at new addresses", func() {
		f := up(2, 1, 1)
		old := f.gateways[0]
		f.kill(old)
		next := &gatewayProc{host: "edge-new", ip: old.ip[:len(old.ip)-1] + "9"}
		Expect(f.start(next)).To(Succeed())
		f.gateways = []*gatewayProc{next, f.gateways[1]}
		Expect(f.waitReady()).To(Succeed())
		for i, g := range f.gateways {
			served(f, g, "report", fmt.Sprint("replaced-", i)) // needs a permit, which the killed gateway may have granted
			served(f, g, "post", fmt.Sprint("replaced-post-", i))
		}
		version := f.publishConfig(nil)
		for _, g := range f.gateways {
			Eventually(g.log.String).Should(ContainSubstring(fmt.Sprintf(`"config":%d`, version)))
		}
	})

	It("apply each configuration everywhere and never return to an older one", func() {
		f := up(3, 1, 1)
		for range 5 {
			version := f.publishConfig(nil)
			for _, g := range f.gateways {
				Eventually(g.log.String).Should(ContainSubstring(fmt.Sprintf(`"config":%d`, version)))
			}
		}
		f.publishConfig(func(c map[string]any) { c["tenants"] = []any{} })
		for _, g := range f.gateways {
			Eventually(func() int { return f.send(ctx, g, "post", "revoked").status }).Should(Equal(401))
		}
		f.store.Truncate(platformstore.TopicOperator)
		for _, g := range f.gateways {
			Consistently(func() int { return f.send(ctx, g, "post", "still").status }, 500*time.Millisecond).Should(Equal(401))
		}
	})

	It("pass the configuration to a gateway that cannot reach the store", func() {
		f := up(3, 1, 1)
		lost := f.gateways[0]
		Eventually(lost.log.String).Should(ContainSubstring(`"live":3`)) // all gateways know each other
		text, err := os.ReadFile(f.settingsFile(lost))
		Expect(err).NotTo(HaveOccurred())
		unreachable := strings.Replace(string(text), f.store.Address(), "127.0.0.1:1", 1)
		Expect(os.WriteFile(f.settingsFile(lost), []byte(unreachable), 0o600)).To(Succeed())
		Eventually(lost.log.String).Should(ContainSubstring("lost the store"))
		for range 3 {
			version := f.publishConfig(nil)
			Eventually(lost.log.String).Should(MatchRegexp(`"configuration in force","config":%d,"fetched_from"`, version))
			Eventually(func() int {
				return f.sendWithKey(ctx, f.http, lost, versionKey(version), "post", fmt.Sprint("new-key-", version)).status
			}).Should(Equal(200))
		}
	})

	It("send no requests to a draining worker", func() {
		f := up(2, 0, 2)
		leaving := f.workers[0]
		Expect(f.register(leaving, appService, "draining")).To(Succeed())
		for _, g := range f.gateways {
			Eventually(func() int {
				before := len(leaving.Executions())
				for i := range 6 {
					served(f, g, "post", fmt.Sprint("d", i))
				}
				return len(leaving.Executions()) - before
			}).Should(BeZero())
		}
	})

	It("log why a request failed", func() {
		f := up(1, 0, 1)
		f.workers[0].SetBehaviour(worker.Behaviour{DropConnection: true})
		Expect(f.send(ctx, f.gateways[0], "post", "lost").status).To(Equal(502))
		Eventually(func() []logLine { return f.gateways[0].logLines("lost") }).Should(HaveLen(1))
		line := f.gateways[0].logLines("lost")[0]
		Expect(line.Code).To(Equal("link_lost"))
		Expect(line.Sends[0].Server).To(Equal(f.workers[0].ID))
		Expect(line.Sends[0].Result).To(Equal("may_have_run"))
	})
})
