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
	startGateways := func(gateways, llms, apps int) *fleet {
		f, err := newFleet(GinkgoT().TempDir(), fleetConfig{gateways: gateways, llms: llms, apps: apps})
		if f != nil {
			DeferCleanup(f.close)
		}
		Expect(err).NotTo(HaveOccurred())
		return f
	}
	expectServed := func(f *fleet, g *gatewayProcess, route, id string) {
		GinkgoHelper()
		resp := f.send(ctx, g, route, id)
		Expect(resp.err).NotTo(HaveOccurred())
		Expect(resp.status).To(Equal(200), resp.body)
		Expect(resp.body).To(Equal(wantBody(route, id)))
	}

	It("serve all kinds of requests", func() {
		f := startGateways(2, 2, 2)
		for i, route := range []string{"post", "list", "advice", "report"} {
			for j, g := range f.gateways {
				expectServed(f, g, route, fmt.Sprint("r", i, j))
			}
		}
	})

	It("finish accepted requests on SIGTERM and stop reporting ready at once", func() {
		f := startGateways(2, 1, 1)
		g := f.gateways[0]
		f.workers[0].SetBehaviour(worker.Behaviour{Events: streamEvents, AbortAfterEvents: -1, EventInterval: 100 * time.Millisecond})
		response := make(chan fleetResponse, 1)
		go func() { response <- f.send(ctx, g, "advice", "long") }()
		Eventually(f.workers[0].Executions).Should(HaveLen(1))
		Expect(g.cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
		Eventually(func() bool { return f.ready(g) }).Should(BeFalse())
		expectServed(f, g, "post", "while-stopping") // the load balancer may still send requests
		var resp fleetResponse
		Eventually(response).Should(Receive(&resp))
		Expect(resp.err).NotTo(HaveOccurred())
		Expect(resp.body).To(Equal(wantBody("advice", "long")))
		Eventually(g.exited).Should(BeClosed())
		Expect(g.code).To(Equal(0))
		expectServed(f, f.gateways[1], "post", "elsewhere")
	})

	It("exit within their grace period and answer all requests in progress", func() {
		f := startGateways(1, 1, 1)
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
		// Each request gets a response: 502 if it may have run, which is the case for two, and 503 for the
		// queued one.
		statuses := []int{}
		for _, ch := range []chan fleetResponse{hanging, queued, queued} {
			var resp fleetResponse
			Eventually(ch).Should(Receive(&resp))
			Expect(resp.err).NotTo(HaveOccurred())
			statuses = append(statuses, resp.status)
		}
		Expect(statuses).To(ConsistOf(502, 502, 503))
	})

	It("reload their settings and keep the last valid ones", func() {
		f := startGateways(1, 1, 1)
		g := f.gateways[0]
		Expect(f.writeSettings(g, 4)).To(Succeed())
		Expect(g.cmd.Process.Signal(syscall.SIGHUP)).To(Succeed())
		Eventually(g.log.String).Should(ContainSubstring("settings reloaded"))
		Expect(f.writeSettings(g, 0)).To(Succeed())
		Eventually(g.log.String).Should(ContainSubstring("settings rejected")) // the file is also reloaded without a signal
		Expect(g.log.String()).To(ContainSubstring("bounds.grace_s"))
		expectServed(f, g, "post", "after")
	})

	It("recover after all were killed, also if the store is unavailable meanwhile", func() {
		f := startGateways(3, 1, 1)
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
			expectServed(f, g, "post", fmt.Sprint("back", i))
		}
		Expect(f.workers[1].Executions()).To(HaveLen(3))
	})

	It("serve all kinds of requests as soon as they are ready after all were killed at once", func() {
		f := startGateways(12, 3, 2)
		for _, g := range f.gateways {
			f.kill(g)
		}
		for _, g := range f.gateways {
			Expect(f.start(g)).To(Succeed())
		}
		Expect(f.waitReady()).To(Succeed())
		for i, g := range f.gateways {
			for _, route := range []string{"post", "list", "advice", "report"} {
				expectServed(f, g, route, fmt.Sprint("again-", i))
			}
		}
	})

	It("can be replaced by gateways at new addresses", func() {
		f := startGateways(2, 1, 1)
		old := f.gateways[0]
		f.kill(old)
		next := &gatewayProcess{host: "edge-new", ip: old.ip[:len(old.ip)-1] + "9"}
		Expect(f.start(next)).To(Succeed())
		f.gateways = []*gatewayProcess{next, f.gateways[1]}
		Expect(f.waitReady()).To(Succeed())
		for i, g := range f.gateways {
			expectServed(f, g, "report", fmt.Sprint("replaced-", i)) // needs a permit, and the killed gateway may have been the one to grant it
			expectServed(f, g, "post", fmt.Sprint("replaced-post-", i))
		}
		version := f.publishConfig(nil)
		for _, g := range f.gateways {
			Eventually(g.log.String).Should(ContainSubstring(fmt.Sprintf(`"config":%d`, version)))
		}
	})

	It("apply each configuration everywhere and never return to an older one", func() {
		f := startGateways(3, 1, 1)
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
		f := startGateways(3, 1, 1)
		isolated := f.gateways[0]
		Eventually(isolated.log.String).Should(ContainSubstring(`"live":3`)) // every gateway knows the others
		text, err := os.ReadFile(f.settingsFile(isolated))
		Expect(err).NotTo(HaveOccurred())
		unreachable := strings.Replace(string(text), f.store.Address(), "127.0.0.1:1", 1)
		Expect(os.WriteFile(f.settingsFile(isolated), []byte(unreachable), 0o600)).To(Succeed())
		Eventually(isolated.log.String).Should(ContainSubstring("lost the store"))
		for range 3 {
			version := f.publishConfig(nil)
			Eventually(isolated.log.String).Should(MatchRegexp(`"configuration in force","config":%d,"fetched_from"`, version))
			Eventually(func() int {
				return f.sendWithKey(ctx, f.http, isolated, versionKey(version), "post", fmt.Sprint("new-key-", version)).status
			}).Should(Equal(200))
		}
	})

	It("send no requests to a draining worker", func() {
		f := startGateways(2, 0, 2)
		leaving := f.workers[0]
		Expect(f.register(leaving, appService, "draining")).To(Succeed())
		for _, g := range f.gateways {
			Eventually(func() int {
				before := len(leaving.Executions())
				for i := range 6 {
					expectServed(f, g, "post", fmt.Sprint("d", i))
				}
				return len(leaving.Executions()) - before
			}).Should(BeZero())
		}
	})

	It("log why a request failed", func() {
		f := startGateways(1, 0, 1)
		f.workers[0].SetBehaviour(worker.Behaviour{DropConnection: true})
		Expect(f.send(ctx, f.gateways[0], "post", "lost").status).To(Equal(502))
		Eventually(func() []logLine { return f.gateways[0].logLines("lost") }).Should(HaveLen(1))
		line := f.gateways[0].logLines("lost")[0]
		Expect(line.Code).To(Equal("link_lost"))
		Expect(line.Sends[0].Server).To(Equal(f.workers[0].ID))
		Expect(line.Sends[0].Result).To(Equal("may_have_run"))
	})
})
