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

// local is a gateway that knows one engine in each group.
type local struct{}

func (local) Quarantine() *quarantine.Tracker { return quarantine.New() }

func (local) Notices() *notice.Registry {
	return notice.NewRegistry(ratelimit.New(rand.Float64), func(notice.Event) {})
}

func (local) RateLimitedServers() map[permit.Group][]string { return nil }
func (local) LendRepeat(string) bool                        { return false }
func (local) SetGateways(int)                               {}
func (local) RecordStall(time.Time, time.Time)              {}

func (local) Engines(permit.Group) []permit.Engine {
	return []permit.Engine{{ID: "engine", Accepting: true}}
}

var group = permit.Group{Service: "s"}

func TestLiveGatewaysHaveRecentHeartbeats(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	m := newMembers(member("a", at(1)), now)
	m.list([]Member{member("a", at(1)), member("b", at(2)), member("c", at(3))}, now)
	g.Expect(m.live(now)).To(Equal([]string{"a"}))
	m.beat(member("b", at(2)), false, now)
	m.beat(member("c", at(3)), false, now)
	g.Expect(m.live(now)).To(Equal([]string{"a", "b", "c"}))
	m.beat(member("c", at(3)), true, now)
	g.Expect(m.live(now)).To(Equal([]string{"a", "b"}))
	m.silent(at(2), now)
	g.Expect(m.live(now)).To(Equal([]string{"a"}))
	m.beat(member("b", at(2)), false, now.Add(time.Second))
	g.Expect(m.live(now.Add(time.Second))).To(Equal([]string{"a", "b"}))
	g.Expect(m.live(now.Add(10 * time.Second))).To(Equal([]string{"a"}))
	m.beat(member("b", at(9)), false, now) // replaced at another address
	g.Expect(m.known["b"].Address).To(Equal(at(9)))
}

// Gateways that see the same others agree on the home of each engine, and the
// loss of one moves only its own engines.
func TestGatewaysAgreeOnHome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(t, "gateways")
		now := time.Unix(0, 0)
		var all []*members
		for i := range n {
			m := newMembers(member(fmt.Sprint("gw", i), at(i+1)), now)
			for j := range n {
				m.beat(member(fmt.Sprint("gw", j), at(j+1)), false, now)
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
			t.Fatalf("%d places for %d gateways", len(ranks), n)
		}
		lost := rapid.IntRange(0, n-1).Draw(t, "lost")
		observer := all[(lost+1)%n]
		observer.silent(at(lost+1), now)
		if moved := observer.home(engine, now) != home; moved != (home.Address == at(lost+1)) {
			t.Fatalf("the home moved: %v", moved)
		}
	})
}

// Gateways on hosts with little processor do not decide for others, unless there are
// no larger ones.
func TestOnlyLargeHostsAreHomes(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	m := newMembers(Member{"small", at(1), Capacity{Cores: 0.144}}, now)
	m.beat(Member{"large", at(2), Capacity{Cores: 0.8}}, false, now)
	m.beat(Member{"middle", at(3), Capacity{Cores: 0.3}}, false, now)
	for i := range 50 {
		g.Expect(m.home(fmt.Sprint(i), now).Host).To(Equal("large"))
	}
	m.silent(at(2), now)
	homes := map[string]int{}
	for i := range 50 {
		homes[m.home(fmt.Sprint(i), now).Host]++
	}
	g.Expect(homes).To(HaveLen(1))
	g.Expect(homes).To(HaveKey("middle"))
}

// Hosts with little processor or a slow link read the store for the others only where
// there are no larger ones, in an order that all agree on.
func TestLargeHostsRankFirst(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	hosts := []Member{
		{"large-1", at(1), Capacity{0.8, 200}}, {"large-2", at(2), Capacity{0.8, 200}},
		{"no-processor", at(3), Capacity{0.144, 200}}, {"slow-link", at(4), Capacity{0.8, 10}}, {"small", at(5), Capacity{0.144, 10}},
	}
	for topic := range 20 {
		places := map[int]string{}
		for _, self := range hosts {
			m := newMembers(self, now)
			for _, other := range hosts {
				m.beat(other, false, now)
			}
			places[m.rank(fmt.Sprint(topic), now)] = self.Host
			g.Expect(m.slowestLink(now)).To(BeEquivalentTo(10))
		}
		g.Expect(places).To(HaveLen(len(hosts)))
		g.Expect([]string{places[0], places[1]}).To(ConsistOf("large-1", "large-2"))
	}
	alone := newMembers(hosts[4], now)
	g.Expect(alone.rank("t", now)).To(Equal(0))
}

func TestHeartbeatsStayWithinTheirBytes(t *testing.T) {
	g := NewWithT(t)
	m := newMembers(member("a", at(1)), time.Unix(0, 0))
	for i := range 389 {
		m.list([]Member{member(fmt.Sprint(i), at(i+2))}, time.Unix(0, 0))
	}
	datagramsPerSecond := 389 / m.beatEvery().Seconds()
	// One gateway in 35 decides for a group and tells of one service's engines.
	const bytesEach = 90 + 60/35
	g.Expect(datagramsPerSecond * bytesEach).To(BeNumerically("<", 2000))
}

// The messages of one prompt and a heartbeat with what was learnt of three services, in
// bytes: what docs/CAPACITY.md reckons with.
func TestMessagesStaySmall(t *testing.T) {
	g := NewWithT(t)
	in := permit.Group{Service: "model-120b", Index: 3}
	id := "9c41d07be2a35f68/0"
	rated := notice.Report{Server: "i-7f3a91c2e4@1765000000000", Draining: true, DrainingAgeMs: 90000, Limited: true, Limit: 0.25, LimitAgeMs: 90000}
	figures := learnt{"model-120b", 25300, 647, 15234, 8123, 151234, 180}
	for _, m := range []struct {
		name  string
		bytes int
		message
	}{
		{"ask", 150, message{PermitRequest: &ask{in, permit.Ask{ID: id, Priority: 7, UniqueTokens: 6610, PrefixID: "5c1e07a291bd", PrefixTokens: 5382, OutputTokens: 330,
			FirstTokenTarget: 2400 * time.Millisecond, MaxEventGap: 800 * time.Millisecond, FirstTokenTimeout: 9 * time.Second, ResponseTimeout: 15 * time.Second,
			FailureDomain: "barrage-hall"}}}},
		{"answer", 80, message{PermitDecision: &permit.Decision{ID: id, Verdict: permit.Granted, Engine: "i-7f3a91c2e4", FetchFrom: "i-1698e780c4", BacklogTokens: 120000}}},
		{"first token", 60, message{FirstToken: &firstToken{Group: in, ID: id, Took: 180 * time.Millisecond}}},
		{"end", 75, message{End: &end{in, id, permit.StreamStats{Events: 64, Duration: 5 * time.Second, LongestGap: 150 * time.Millisecond}}}},
		{"heartbeat", 45, message{Heartbeat: &beat{Host: "edge-barrage-hall-1", Capacity: Capacity{0.304, 1000}}}},
		{"heartbeat with figures", 230, message{Heartbeat: &beat{Host: "edge-barrage-hall-1", Capacity: Capacity{0.304, 1000}, Estimates: []learnt{figures, figures, figures}}}},
		{"suspect", 120, message{Suspects: suspects(1, 1)}},
		{"strong suspect", 240, message{Suspects: suspects(1, 3)}},
		{"notice", 80, message{Notices: []notice.Report{rated}}},
		{"loan", 80, message{Loans: []notice.Report{rated}}},
		{"a datagram of loans", 1200, message{Loans: slices.Repeat([]notice.Report{rated}, noticesInDatagram)}},
	} {
		data, err := msgpack.Marshal(m.message)
		g.Expect(err).NotTo(HaveOccurred())
		t.Logf("%s: %d bytes", m.name, len(data))
		g.Expect(len(data)).To(BeNumerically("<", m.bytes), m.name)
	}
}

// suspects are so many requests that each ended so many servers, as they are told.
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
	told := 0
	for _, ends := range []int{1, 3, 12} {
		for _, batch := range batches(suspects(100, ends)) {
			data, err := msgpack.Marshal(message{Suspects: batch})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(len(data)).To(BeNumerically("<=", 1200))
			told += len(batch)
		}
	}
	g.Expect(told).To(Equal(300))
}

func TestRemoteReportConfirmsOnlySameState(t *testing.T) {
	g := NewWithT(t)
	f, now := findings{}, time.Unix(100, 0)
	f.find("t", 7, now, now)
	g.Expect(f.own(now)).To(HaveLen(1))
	f.hear(finding{"t", 7, 100, 5000}, at(9), now.Add(time.Second))
	g.Expect(f.topic("t").confirmed()).To(Equal(now.Add(900 * time.Millisecond)))
	g.Expect(f.topic("t").heard.since).To(Equal(now.Add(-4 * time.Second)))
	g.Expect(f.own(now.Add(time.Second))).To(BeEmpty()) // another tells it
	changed := f.topic("t").changed
	f.hear(finding{"t", 8, 0, 0}, at(9), now.Add(2*time.Second))
	g.Expect(changed).To(BeClosed())
	g.Expect(f.topic("t").confirmed()).To(Equal(now))
	f.hear(finding{"t", 7, 1500, 0}, at(9), now.Add(2*time.Second)) // older than what was heard
	g.Expect(f.topic("t").heard.state).To(BeEquivalentTo(8))
}

// A version is newer than another whenever it was read: one that was read long ago over a slow
// link is heard of, and the fresh word of a gateway that is behind neither confirms anything nor
// hides the newer one.
func TestHigherVersionIsNewerRegardlessOfReadTime(t *testing.T) {
	g := NewWithT(t)
	f, now := findings{}, time.Unix(100, 0)
	f.topic("t").versioned = true
	f.find("t", 7, now, now)
	changed := f.topic("t").changed
	f.hear(finding{"t", 8, 3000, 0}, at(2), now.Add(time.Second)) // read before 7 was
	g.Expect(changed).To(BeClosed())
	g.Expect(f.topic("t").outdated()).To(BeTrue())
	g.Expect(f.topic("t").confirmed()).To(Equal(now))

	f.hear(finding{"t", 7, 0, 0}, at(3), now.Add(2*time.Second)) // behind
	g.Expect(f.topic("t").heard.state).To(BeEquivalentTo(8))
	g.Expect(f.topic("t").heard.from).To(Equal(at(2)))
	g.Expect(f.topic("t").confirmed()).To(Equal(now))

	f.find("t", 9, now.Add(2*time.Second), now)
	f.hear(finding{"t", 8, 0, 0}, at(2), now.Add(3*time.Second))
	g.Expect(f.topic("t").outdated()).To(BeFalse())
	g.Expect(f.topic("t").confirmed()).To(Equal(now.Add(2 * time.Second)))
}

// A state that was fetched from another gateway is not told on to all.
func TestStateFromPeerIsNotReportedAgain(t *testing.T) {
	g := NewWithT(t)
	f, now := findings{}, time.Unix(100, 0)
	f.topic("t").versioned = true
	f.hear(finding{"t", 8, 0, 0}, at(2), now)
	f.find("t", 8, now, now)
	g.Expect(f.news).To(BeFalse())
	f.find("t", 9, now.Add(time.Second), now)
	g.Expect(f.news).To(BeTrue())
}

var _ = Describe("gateways on one network", func() {
	open := func(host string) (*Peers, context.CancelFunc) {
		p, err := Open(host, "127.0.0.1:0", Capacity{Cores: 0.3}, local{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		var duty sync.WaitGroup
		duty.Go(func() { p.Run(ctx) })
		DeferCleanup(func() { cancel(); duty.Wait() })
		return p, func() { cancel(); duty.Wait() }
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

	It("learn of each other, and of one that leaves", func() {
		a, _ := open("a")
		b, _ := open("b")
		a.AddListed([]Member{b.Self()}) // b learns of a from its heartbeat
		Eventually(live(a)).Should(Equal(2))
		Eventually(live(b)).Should(Equal(2))
		b.AnnounceLeave()
		Eventually(live(a)).Should(Equal(1))
	})

	It("tell each other what they have learnt of engines", func() {
		a, _ := open("a")
		ctx := context.Background()
		for i := range 300 {
			r := request(fmt.Sprint("r", i))
			r.UniqueTokens = 1000 + 10*i
			answer, leave := a.RequestPermit(ctx, group, r)
			Expect(answer.Verdict).To(Equal(permit.Granted))
			leave.FirstToken(time.Duration(r.UniqueTokens) * 100 * time.Microsecond) // 10 tokens a ms
			leave.End(permit.StreamStats{})
		}
		b, _ := open("b")
		a.AddListed([]Member{b.Self()})
		told := func() time.Duration {
			f, _ := b.told("s")
			return f.PrefillPer1000Tokens
		}
		Eventually(told, 3*time.Second).Should(BeNumerically("~", 100*time.Millisecond, 20*time.Millisecond))
		_, known := b.told("other")
		Expect(known).To(BeFalse())
	})

	It("decide for each other, one prompt after the other", func() {
		a, _ := open("a")
		b, _ := open("b")
		a.AddListed([]Member{b.Self()})
		Eventually(live(a)).Should(Equal(2))
		Eventually(live(b)).Should(Equal(2))
		ctx := context.Background()
		first, leave := a.RequestPermit(ctx, group, request("r1"))
		Expect(first.Verdict).To(Equal(permit.Granted))
		second := make(chan permit.Decision, 1)
		go func() {
			answer, _ := b.RequestPermit(ctx, group, request("r2"))
			second <- answer
		}()
		Consistently(second, 150*time.Millisecond).ShouldNot(Receive())
		leave.FirstToken(time.Second)
		Eventually(second).Should(Receive(HaveField("Verdict", permit.Granted)))
	})

	It("go on when the one that decides is gone", func() {
		a, _ := open("a")
		b, stopB := open("b")
		a.AddListed([]Member{b.Self()})
		Eventually(live(a)).Should(Equal(2))
		stopB()
		for i := range 8 { // about half of these groups had their home at b
			answer, _ := a.RequestPermit(context.Background(), permit.Group{Service: "s", Index: i}, request(fmt.Sprint("r", i)))
			Expect(answer.Verdict).To(Equal(permit.Granted))
		}
	})

	It("do not keep the place of a request that is given up", func() {
		a, _ := open("a")
		_, _ = a.RequestPermit(context.Background(), group, request("r1"))
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan permit.Decision, 1)
		go func() {
			answer, _ := a.RequestPermit(ctx, group, request("r2"))
			done <- answer
		}()
		Consistently(done, 100*time.Millisecond).ShouldNot(Receive())
		cancel()
		Eventually(done).Should(Receive(HaveField("Verdict", permit.Refused)))
	})

	It("tell the others what they have read", func() {
		a, _ := open("a")
		b, _ := open("b")
		a.AddListed([]Member{b.Self()})
		Eventually(live(b)).Should(Equal(2))
		b.ReportState("topic", 1, time.Now(), time.Now())
		_, changed := b.LastConfirmed("topic")
		// Later by more than a datagram is under way: by when it is heard and its age in whole ms,
		// what b has told could else look newer to a.
		a.ReportState("topic", 2, time.Now().Add(500*time.Millisecond), time.Now())
		Eventually(changed, 2*time.Second).Should(BeClosed())
	})
})
