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

// A list of targets that changes while a router's link is being taken in reaches that
// router: between the heartbeat that greets it and its entry among the links, a poke of
// all links passes it by, and an idle link's next heartbeat is 20 s away.
func TestALinkThatIsTakenInHearsOfTargetsThatChangeMeanwhile(t *testing.T) {
	g := NewWithT(t)
	set := settings.Agent{Name: "a", Listen: "127.0.0.1:0", Metrics: "127.0.0.1:0", Link: settings.Link{HeartbeatMS: 20000, SilentMS: 60000}}
	a, err := New(set, slog.New(slog.DiscardHandler))
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _, _ = a.listener.Close(), a.metrics.Close() }()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	there, err := net.Dial("tcp", a.Address())
	g.Expect(err).NotTo(HaveOccurred())
	here, err := a.listener.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	go a.serveLink(ctx, here)
	router, err := link.Open(there, wire.Hello{Role: "router", Name: "r", Incarnation: "1"},
		link.Options{HeartbeatInterval: 20 * time.Second, PeerTimeout: time.Minute, NewHeartbeat: func() *wire.Heartbeat { return &wire.Heartbeat{} }})
	g.Expect(err).NotTo(HaveOccurred())
	told := make(chan []string, 10)
	go func() {
		_ = router.Run(ctx, func(m wire.Message) { // ends with ctx
			if b, ok := m.(*wire.Heartbeat); ok && b.Load != nil {
				told <- b.Load.Serving
			}
		})
	}()
	// The core's goroutine does not run yet: the link's entry waits in its inbox.
	entry := <-a.core.inbox
	a.serving.set([]string{"model/x"})
	a.core.pokeAll()
	entry(time.Now())
	g.Eventually(told, 5*time.Second).Should(Receive(Equal([]string{"model/x"})))
}
