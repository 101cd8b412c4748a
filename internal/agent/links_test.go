package agent

import (
	"context"
	"log/slog"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/merlinpost/merlinpost/internal/link"
	"github.com/merlinpost/merlinpost/internal/settings"
	"github.com/merlinpost/merlinpost/internal/wire"
)

// A change of the served targets while a link is being opened must reach the router.
// If the first heartbeat were sent before the link is registered, a change between the
// two would be in neither that heartbeat nor the one sent on all registered links, and
// the router would miss it until the next periodic heartbeat, 20 s later on an idle link.
func TestTargetChangeDuringLinkOpeningReachesRouter(t *testing.T) {
	g := NewWithT(t)
	cfg := settings.Agent{Name: "a", Listen: "127.0.0.1:0", Metrics: "127.0.0.1:0", Link: settings.Link{HeartbeatMS: 20000, SilentMS: 60000}}
	a, err := New(cfg, slog.New(slog.DiscardHandler))
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _, _ = a.listener.Close(), a.metricsListener.Close() }()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	routerConn, err := net.Dial("tcp", a.Address())
	g.Expect(err).NotTo(HaveOccurred())
	agentConn, err := a.listener.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	go a.serveLink(ctx, agentConn)
	router, err := link.Open(routerConn, wire.Hello{Role: "router", Name: "r", Incarnation: "1"},
		link.Options{HeartbeatInterval: 20 * time.Second, PeerTimeout: time.Minute, NewHeartbeat: func() *wire.Heartbeat { return &wire.Heartbeat{} }})
	g.Expect(err).NotTo(HaveOccurred())
	received := make(chan []string, 10)
	go func() {
		_ = router.Run(ctx, func(m wire.Message) { // ends with ctx
			if b, ok := m.(*wire.Heartbeat); ok && b.Load != nil {
				received <- b.Load.Serving
			}
		})
	}()
	// The core loop is not running, so the link's registration stays in its inbox.
	register := <-a.loop.inbox
	a.servingTargets.set([]string{"model/x"})
	a.loop.triggerHeartbeats()
	register(time.Now())
	g.Eventually(received, 5*time.Second).Should(Receive(Equal([]string{"model/x"})))
}
