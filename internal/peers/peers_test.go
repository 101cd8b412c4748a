package peers

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"github.com/merlinpost/merlinpost/internal/notice"
	"github.com/merlinpost/merlinpost/internal/permit"
	"github.com/merlinpost/merlinpost/internal/quarantine"
	"github.com/merlinpost/merlinpost/internal/ratelimit"
)

func TestPeers(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "peers")
}

func at(port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(port))
}

// member is a gateway with 0.3 cores.
func member(host string, address netip.AddrPort) Member {
	return Member{host, address, Capacity{Cores: 0.3}}
}

// fakeGateway has one engine in each group.
type fakeGateway struct{}

func (fakeGateway) Quarantine() *quarantine.Tracker { return quarantine.New() }

func (fakeGateway) Notices() *notice.Registry {
	return notice.NewRegistry(ratelimit.New(rand.Float64), func(notice.Event) {})
}

func (fakeGateway) RateLimitedServers() map[permit.Group][]string { return nil }
func (fakeGateway) LendRetry(string) bool                         { return false }
func (fakeGateway) SetGateways(int)                               {}
func (fakeGateway) RecordStall(time.Time, time.Time)              {}

func (fakeGateway) Engines(permit.Group) []permit.Engine {
	return []permit.Engine{{ID: "engine", Accepting: true}}
}

var group = permit.Group{Service: "s"}

func TestLiveGatewaysHaveRecentHeartbeats(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	m := newMembers(member("a", at(1)), now)
	m.addListed([]Member{member("a", at(1)), member("b", at(2)), member("c", at(3))}, now)
	g.Expect(m.live(now)).To(Equal([]string{"a"}))
	m.recordHeartbeat(member("b", at(2)), false, now)
	m.recordHeartbeat(member("c", at(3)), false, now)
	g.Expect(m.live(now)).To(Equal([]string{"a", "b", "c"}))
	m.recordHeartbeat(member("c", at(3)), true, now)
	g.Expect(m.live(now)).To(Equal([]string{"a", "b"}))
	m.markUnresponsive(at(2), now)
	g.Expect(m.live(now)).To(Equal([]string{"a"}))
	m.recordHeartbeat(member("b", at(2)), false, now.Add(time.Second))
	g.Expect(m.live(now.Add(time.Second))).To(Equal([]string{"a", "b"}))
	g.Expect(m.live(now.Add(10 * time.Second))).To(Equal([]string{"a"}))
	m.recordHeartbeat(member("b", at(9)), false, now) // replaced at another address
	g.Expect(m.peers["b"].Address).To(Equal(at(9)))
}

// Gateways with the same view agree on the home of each key, and the loss of a gateway moves only
// the keys of which it was the home.
func TestGatewaysAgreeOnHome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(t, "gateways")
		now := time.Unix(0, 0)
		var all []*members
		for i := range n {
			m := newMembers(member(fmt.Sprint("gw", i), at(i+1)), now)
			for j := range n {
				m.recordHeartbeat(member(fmt.Sprint("gw", j), at(j+1)), false, now)
			}
			all = append(all, m)
		}
		engine := rapid.String().Draw(t, "engine")
		home := all[0].home(engine, now)
		ranks := map[int]bool{}
		for _, m := range all {
			if m.home(engine, now) != home {
				t.Fatal("gateways disagree")
			}
			ranks[m.rank(engine, now)] = true
		}
		if len(ranks) != n {
			t.Fatalf("%d distinct ranks for %d gateways", len(ranks), n)
		}
		lost := rapid.IntRange(0, n-1).Draw(t, "lost")
		observer := all[(lost+1)%n]
		observer.markUnresponsive(at(lost+1), now)
		if moved := observer.home(engine, now) != home; moved != (home.Address == at(lost+1)) {
			t.Fatalf("the home moved: %v", moved)
		}
	})
}

// Guards against homes on hosts with few cores, which would be overloaded by the requests of all
// gateways. They are used only if there are no larger hosts.
func TestOnlyLargeHostsAreHomes(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	m := newMembers(Member{"small", at(1), Capacity{Cores: 0.144}}, now)
	m.recordHeartbeat(Member{"large", at(2), Capacity{Cores: 0.8}}, false, now)
	m.recordHeartbeat(Member{"middle", at(3), Capacity{Cores: 0.3}}, false, now)
	for i := range 50 {
		g.Expect(m.home(fmt.Sprint(i), now).Host).To(Equal("large"))
	}
	m.markUnresponsive(at(2), now)
	homes := map[string]int{}
	for i := range 50 {
		homes[m.home(fmt.Sprint(i), now).Host]++
	}
	g.Expect(homes).To(HaveLen(1))
	g.Expect(homes).To(HaveKey("middle"))
}

// Guards against small hosts that read the store on behalf of the others while larger ones are
// live, and against gateways that disagree on the order.
func TestLargeHostsRankFirst(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	hosts := []Member{
		{"large-1", at(1), Capacity{0.8, 200}}, {"large-2", at(2), Capacity{0.8, 200}},
		{"no-processor", at(3), Capacity{0.144, 200}}, {"slow-link", at(4), Capacity{0.8, 10}}, {"small", at(5), Capacity{0.144, 10}},
	}
	for topic := range 20 {
		hostsByRank := map[int]string{}
		for _, self := range hosts {
			m := newMembers(self, now)
			for _, other := range hosts {
				m.recordHeartbeat(other, false, now)
			}
			hostsByRank[m.rank(fmt.Sprint(topic), now)] = self.Host
			g.Expect(m.slowestLinkMbps(now)).To(BeEquivalentTo(10))
		}
		g.Expect(hostsByRank).To(HaveLen(len(hosts)))
		g.Expect([]string{hostsByRank[0], hostsByRank[1]}).To(ConsistOf("large-1", "large-2"))
	}
	alone := newMembers(hosts[4], now)
	g.Expect(alone.rank("t", now)).To(Equal(0))
}

func TestHeartbeatTrafficIsLimited(t *testing.T) {
	g := NewWithT(t)
	m := newMembers(member("a", at(1)), time.Unix(0, 0))
	for i := range 389 {
		m.addListed([]Member{member(fmt.Sprint(i), at(i+2))}, time.Unix(0, 0))
	}
	datagramsPerSecond := 389 / m.heartbeatInterval().Seconds()
	// One gateway in 35 schedules a group and sends the estimates of one service's engines.
	const bytesEach = 90 + 60/35
	g.Expect(datagramsPerSecond * bytesEach).To(BeNumerically("<", 2000))
}

// Guards the message sizes on which docs/CAPACITY.md is based, and those of messages that must fit
// into a datagram.
func TestMessageSizes(t *testing.T) {
	g := NewWithT(t)
	in := permit.Group{Service: "model-120b", Index: 3}
	id := "9c41d07be2a35f68/0"
	rated := notice.Report{Server: "i-7f3a91c2e4@1765000000000", Draining: true, DrainingAgeMs: 90000, Limited: true, Limit: 0.25, LimitAgeMs: 90000}
	estimates := engineEstimates{"model-120b", 25300, 647, 15234, 8123, 151234, 180}
	for _, m := range []struct {
		name  string
		bytes int
		message
	}{
		{"permit request", 150, message{PermitRequest: &permitRequest{in, permit.Ask{ID: id, Priority: 7, UniqueTokens: 6610, PrefixID: "5c1e07a291bd", PrefixTokens: 5382, OutputTokens: 330,
			FirstTokenTarget: 2400 * time.Millisecond, MaxEventGap: 800 * time.Millisecond, FirstTokenTimeout: 9 * time.Second, ResponseTimeout: 15 * time.Second,
			FailureDomain: "barrage-hall"}}}},
		{"permit decision", 80, message{PermitDecision: &permit.Decision{ID: id, Verdict: permit.Granted, Engine: "i-7f3a91c2e4", FetchFrom: "i-1698e780c4", BacklogTokens: 120000}}},
		{"first token", 60, message{FirstToken: &firstToken{Group: in, ID: id, TimeToFirstToken: 180 * time.Millisecond}}},
		{"end", 75, message{End: &requestEnd{in, id, permit.StreamStats{Events: 64, Duration: 5 * time.Second, LongestGap: 150 * time.Millisecond}}}},
		{"heartbeat", 45, message{Heartbeat: &heartbeat{Host: "edge-barrage-hall-1", Capacity: Capacity{0.304, 1000}}}},
		{"heartbeat with estimates", 230, message{Heartbeat: &heartbeat{Host: "edge-barrage-hall-1", Capacity: Capacity{0.304, 1000}, Estimates: []engineEstimates{estimates, estimates, estimates}}}},
		{"suspect", 120, message{Suspects: suspects(1, 1)}},
		{"strong suspect", 240, message{Suspects: suspects(1, 3)}},
		{"notice", 80, message{Notices: []notice.Report{rated}}},
		{"loan", 80, message{Loans: []notice.Report{rated}}},
		{"a datagram of loans", 1200, message{Loans: slices.Repeat([]notice.Report{rated}, maxNoticesPerDatagram)}},
	} {
		data, err := msgpack.Marshal(m.message)
		g.Expect(err).NotTo(HaveOccurred())
		t.Logf("%s: %d bytes", m.name, len(data))
		g.Expect(len(data)).To(BeNumerically("<", m.bytes), m.name)
	}
}

// suspects returns the given number of suspected requests, each of which has ended the given number of servers.
func suspects(requests, ends int) []quarantine.Update {
	l, now := quarantine.New(), time.Unix(1000, 0)
	for i := range requests {
		id := quarantine.Identify("team", "POST", "a.example", fmt.Sprint("/", i), nil)
		for j := range ends {
			at := now.Add(time.Duration(j) * time.Second)
			l.RecordCrash(id, quarantine.Crash{Server: fmt.Sprintf("i-7f3a91c2%02d@17650000%05d", j, i), SentAt: at.Add(-time.Second), At: at}, at)
		}
	}
	return l.Snapshot(now.Add(time.Minute))
}

func TestSuspectBatchesFitIntoDatagrams(t *testing.T) {
	g := NewWithT(t)
	total := 0
	for _, ends := range []int{1, 3, 12} {
		for _, batch := range suspectBatches(suspects(100, ends)) {
			data, err := msgpack.Marshal(message{Suspects: batch})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(len(data)).To(BeNumerically("<=", 1200))
			total += len(batch)
		}
	}
	g.Expect(total).To(Equal(300))
}

func TestRemoteReportConfirmsOnlySameState(t *testing.T) {
	g := NewWithT(t)
	f, now := topicStates{}, time.Unix(100, 0)
	f.record("t", 7, now, now)
	g.Expect(f.reports(now)).To(HaveLen(1))
	f.receive(stateReport{"t", 7, 100, 5000}, at(9), now.Add(time.Second))
	g.Expect(f.topic("t").confirmedAt()).To(Equal(now.Add(900 * time.Millisecond)))
	g.Expect(f.topic("t").remote.storeUpSince).To(Equal(now.Add(-4 * time.Second)))
	g.Expect(f.reports(now.Add(time.Second))).To(BeEmpty()) // another gateway reports it
	changed := f.topic("t").changed
	f.receive(stateReport{"t", 8, 0, 0}, at(9), now.Add(2*time.Second))
	g.Expect(changed).To(BeClosed())
	g.Expect(f.topic("t").confirmedAt()).To(Equal(now))
	f.receive(stateReport{"t", 7, 1500, 0}, at(9), now.Add(2*time.Second)) // older than the previous report
	g.Expect(f.topic("t").remote.state).To(BeEquivalentTo(8))
}

// Guards against missing a higher version that was read earlier over a slow link, and against
// recent reports of a gateway with an older version, which must neither confirm this gateway's
// version nor replace the higher one.
func TestHigherVersionIsNewerRegardlessOfReadTime(t *testing.T) {
	g := NewWithT(t)
	f, now := topicStates{}, time.Unix(100, 0)
	f.topic("t").versioned = true
	f.record("t", 7, now, now)
	changed := f.topic("t").changed
	f.receive(stateReport{"t", 8, 3000, 0}, at(2), now.Add(time.Second)) // read earlier than 7
	g.Expect(changed).To(BeClosed())
	g.Expect(f.topic("t").outdated()).To(BeTrue())
	g.Expect(f.topic("t").confirmedAt()).To(Equal(now))

	f.receive(stateReport{"t", 7, 0, 0}, at(3), now.Add(2*time.Second)) // from a gateway with an older version
	g.Expect(f.topic("t").remote.state).To(BeEquivalentTo(8))
	g.Expect(f.topic("t").remote.from).To(Equal(at(2)))
	g.Expect(f.topic("t").confirmedAt()).To(Equal(now))

	f.record("t", 9, now.Add(2*time.Second), now)
	f.receive(stateReport{"t", 8, 0, 0}, at(2), now.Add(3*time.Second))
	g.Expect(f.topic("t").outdated()).To(BeFalse())
	g.Expect(f.topic("t").confirmedAt()).To(Equal(now.Add(2 * time.Second)))
}

// Guards against reporting a state that was fetched from another gateway, which reports it itself.
func TestStateFromPeerIsNotReportedAgain(t *testing.T) {
	g := NewWithT(t)
	f, now := topicStates{}, time.Unix(100, 0)
	f.topic("t").versioned = true
	f.receive(stateReport{"t", 8, 0, 0}, at(2), now)
	f.record("t", 8, now, now)
	g.Expect(f.reportPending).To(BeFalse())
	f.record("t", 9, now.Add(time.Second), now)
	g.Expect(f.reportPending).To(BeTrue())
}

var _ = Describe("gateways on one network", func() {
	open := func(host string) (*Peers, context.CancelFunc) {
		p, err := Open(host, "127.0.0.1:0", Capacity{Cores: 0.3}, fakeGateway{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { p.Run(ctx) })
		DeferCleanup(func() { cancel(); running.Wait() })
		return p, func() { cancel(); running.Wait() }
	}
	live := func(p *Peers) func() int {
		return func() int {
			p.mu.Lock()
			defer p.mu.Unlock()
			return len(p.members.live(time.Now()))
		}
	}
	request := func(id string) permit.Ask {
		return permit.Ask{ID: id, UniqueTokens: 20000, FirstTokenTarget: 2 * time.Second, FirstTokenTimeout: 8 * time.Second}
	}

	It("discover each other and notice one that leaves", func() {
		a, _ := open("a")
		b, _ := open("b")
		a.AddListed([]Member{b.Self()}) // b discovers a from its heartbeat
		Eventually(live(a)).Should(Equal(2))
		Eventually(live(b)).Should(Equal(2))
		b.AnnounceLeave()
		Eventually(live(a)).Should(Equal(1))
	})

	It("exchange their engine estimates", func() {
		a, _ := open("a")
		ctx := context.Background()
		for i := range 300 {
			r := request(fmt.Sprint("r", i))
			r.UniqueTokens = 1000 + 10*i
			decision, permitted := a.RequestPermit(ctx, group, r)
			Expect(decision.Verdict).To(Equal(permit.Granted))
			permitted.FirstToken(time.Duration(r.UniqueTokens) * 100 * time.Microsecond) // 10 tokens a ms
			permitted.End(permit.StreamStats{})
		}
		b, _ := open("b")
		a.AddListed([]Member{b.Self()})
		read := func() time.Duration {
			f, _ := b.peerEstimates("s")
			return f.PrefillPer1000Tokens
		}
		Eventually(read, 3*time.Second).Should(BeNumerically("~", 100*time.Millisecond, 20*time.Millisecond))
		_, known := b.peerEstimates("other")
		Expect(known).To(BeFalse())
	})

	It("grant permits of one group one prompt at a time", func() {
		a, _ := open("a")
		b, _ := open("b")
		a.AddListed([]Member{b.Self()})
		Eventually(live(a)).Should(Equal(2))
		Eventually(live(b)).Should(Equal(2))
		ctx := context.Background()
		first, permitted := a.RequestPermit(ctx, group, request("r1"))
		Expect(first.Verdict).To(Equal(permit.Granted))
		second := make(chan permit.Decision, 1)
		go func() {
			decision, _ := b.RequestPermit(ctx, group, request("r2"))
			second <- decision
		}()
		Consistently(second, 150*time.Millisecond).ShouldNot(Receive())
		permitted.FirstToken(time.Second)
		Eventually(second).Should(Receive(HaveField("Verdict", permit.Granted)))
	})

	It("grant permits when the home has terminated", func() {
		a, _ := open("a")
		b, stopB := open("b")
		a.AddListed([]Member{b.Self()})
		Eventually(live(a)).Should(Equal(2))
		stopB()
		for i := range 8 { // about half of these groups had their home at b
			decision, _ := a.RequestPermit(context.Background(), permit.Group{Service: "s", Index: i}, request(fmt.Sprint("r", i)))
			Expect(decision.Verdict).To(Equal(permit.Granted))
		}
	})

	It("refuse a queued request when its context is cancelled", func() {
		a, _ := open("a")
		_, _ = a.RequestPermit(context.Background(), group, request("r1"))
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan permit.Decision, 1)
		go func() {
			decision, _ := a.RequestPermit(ctx, group, request("r2"))
			done <- decision
		}()
		Consistently(done, 100*time.Millisecond).ShouldNot(Receive())
		cancel()
		Eventually(done).Should(Receive(HaveField("Verdict", permit.Refused)))
	})

	It("report the states that they have read", func() {
		a, _ := open("a")
		b, _ := open("b")
		a.AddListed([]Member{b.Self()})
		Eventually(live(b)).Should(Equal(2))
		b.ReportState("topic", 1, time.Now(), time.Now())
		_, changed := b.LastConfirmed("topic")
		// The offset exceeds the delivery time of a datagram. Without it, b's state could look newer to a,
		// which derives its time from the time of receipt and an age in whole milliseconds.
		a.ReportState("topic", 2, time.Now().Add(500*time.Millisecond), time.Now())
		Eventually(changed, 2*time.Second).Should(BeClosed())
	})
})
