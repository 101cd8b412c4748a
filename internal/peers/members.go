package peers

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/merlinpost/merlinpost/internal/rendezvous"
)

// Member identifies a gateway and describes its capacity.
type Member struct {
	Host    string
	Address netip.AddrPort
	Capacity
}

// Capacity describes a gateway's host. Zero values mean unknown.
type Capacity struct {
	Cores    float64 `msgpack:"c,omitempty"` // available to the gateway
	LinkMbps uint32  `msgpack:"w,omitempty"`
}

const (
	// minHeartbeatInterval is the heartbeat interval in a small deployment.
	minHeartbeatInterval = time.Second
	// heartbeatIntervalPerMember makes the interval of large deployments proportional to the number of
	// members, which limits the traffic per host. With 390 members, a host sends a heartbeat to each of the
	// others every 19.5 s: 20 datagrams of about 90 bytes per second.
	heartbeatIntervalPerMember = 50 * time.Millisecond
	// maxMissedHeartbeats is the number of heartbeat intervals without a heartbeat after which a member
	// counts as down.
	maxMissedHeartbeats = 3
	// unresponsivePeriod is how long a member that did not respond counts as down, unless it sends a
	// heartbeat earlier.
	unresponsivePeriod = 3 * time.Second
	// largeHostFraction is the fraction of the largest member's cores that a member needs to become the
	// home of a group of engines, and the fraction of the largest number of cores and the highest link
	// speed that it needs to be preferred for reading the store on behalf of the others. The
	// requests of all gateways would overload a small host, and a host on a slow link would receive and
	// report a large value much later.
	largeHostFraction = 0.5
	// rateShareRetention is how long a member without heartbeats keeps its share of rate limits: it may be
	// partitioned from this gateway and still send requests. Afterwards its share is redistributed, because
	// the host may never return.
	rateShareRetention = time.Minute
	// slackShareRetention is how long a member without heartbeats keeps its share of the retry budgets' slack.
	slackShareRetention = time.Hour
	// joinDelay is how long a gateway uses none of the slack after it was first listed in the store, so that
	// the others discover it first. joinDelayIntervals is the same delay in heartbeat intervals; the longer
	// of the two applies.
	joinDelay, joinDelayIntervals = 1200 * time.Millisecond, 1.2
)

// members is this gateway's view of the membership. It is not safe for concurrent use.
type members struct {
	self  Member
	start time.Time
	peers map[string]*peerState // by host, excluding self
	// listedAt is when the store first listed this gateway.
	listedAt time.Time
	// stalledAt is the end of the last stall of this process, during which it processed no heartbeats.
	stalledAt time.Time
}

// peerState is what is known of another gateway.
type peerState struct {
	Member
	heartbeatAt        time.Time // time of the last heartbeat, zero if none
	listedAt           time.Time // when the store first listed it
	unresponsiveUntil  time.Time
	leaving            bool
	estimates          []engineEstimates // from its last heartbeat that had any
	initialStateSentAt time.Time         // time of the last sendInitialState
}

func newMembers(self Member, now time.Time) *members {
	return &members{self: self, start: now, peers: map[string]*peerState{}}
}

// heartbeatInterval returns the interval at which each member is sent a heartbeat.
func (m *members) heartbeatInterval() time.Duration {
	return max(minHeartbeatInterval, time.Duration(len(m.peers))*heartbeatIntervalPerMember)
}

// addListed adds members listed in the store. A listed member is not necessarily live.
func (m *members) addListed(listed []Member, now time.Time) {
	for _, member := range listed {
		if member.Host == m.self.Host {
			if m.listedAt.IsZero() {
				m.listedAt = now
			}
			continue
		}
		if p := m.getOrCreate(member); p.listedAt.IsZero() {
			p.listedAt = now
		}
	}
}

// getOrCreate returns the state of a member and creates it if necessary. The state is reset when the
// member's address changes.
func (m *members) getOrCreate(member Member) *peerState {
	p := m.peers[member.Host]
	if p == nil || p.Address != member.Address {
		p = &peerState{Member: member}
		m.peers[member.Host] = p
	}
	return p
}

// recordHeartbeat records a heartbeat of a member.
func (m *members) recordHeartbeat(member Member, leaving bool, now time.Time) {
	if member.Host == m.self.Host {
		return
	}
	p := m.getOrCreate(member)
	p.Capacity = member.Capacity
	p.heartbeatAt, p.leaving, p.unresponsiveUntil = now, leaving, time.Time{}
}

// markUnresponsive records that the member at the address did not respond.
func (m *members) markUnresponsive(address netip.AddrPort, now time.Time) {
	for _, p := range m.peers {
		if p.Address == address {
			p.unresponsiveUntil = now.Add(unresponsivePeriod)
		}
	}
}

// live returns the hosts of the live gateways, including this one, in alphabetical order.
func (m *members) live(now time.Time) []string {
	hosts := []string{m.self.Host}
	for host, p := range m.peers {
		if m.isLive(p, now) {
			hosts = append(hosts, host)
		}
	}
	slices.SortFunc(hosts, strings.Compare)
	return hosts
}

// rateShareCount returns the number of gateways, including this one, that share the rate limits of servers:
// all that may be sending requests, including those without recent heartbeats.
func (m *members) rateShareCount(now time.Time) int {
	n := 1
	for _, p := range m.peers {
		if !p.leaving && now.Sub(p.lastSeen()) <= max(rateShareRetention, maxMissedHeartbeats*m.heartbeatInterval()) {
			n++
		}
	}
	return n
}

// recordStall records that this process was stalled until now.
func (m *members) recordStall(now time.Time) { m.stalledAt = now }

// slackShareCount returns the number of gateways, including this one, that share the slack of the retry
// budgets, or 0 while the others may not know of this one. A member without heartbeats may be partitioned and
// still use its share, so it is counted for slackShareRetention, and for as long as at least a third of all
// gateways are not live.
func (m *members) slackShareCount(now time.Time) int {
	if m.listedAt.IsZero() || now.Sub(m.listedAt) < max(joinDelay, time.Duration(joinDelayIntervals*float64(m.heartbeatInterval()))) {
		return 0
	}
	all, live, counted := 1, 1, 1
	for _, p := range m.peers {
		if p.leaving {
			continue
		}
		all++
		if m.isLive(p, now) {
			live++
		}
		if now.Sub(p.lastSeen()) <= slackShareRetention || now.Sub(m.stalledAt) <= slackShareRetention {
			counted++
		}
	}
	if 3*live <= 2*all {
		return all
	}
	return counted
}

// lastSeen returns the time of the member's last heartbeat, or when it was first listed if that is later.
func (p *peerState) lastSeen() time.Time {
	if p.heartbeatAt.After(p.listedAt) {
		return p.heartbeatAt
	}
	return p.listedAt
}

// isLive reports whether a member has sent a recent heartbeat and neither leaves nor counts as unresponsive.
func (m *members) isLive(p *peerState, now time.Time) bool {
	return !p.heartbeatAt.IsZero() && !p.leaving && now.After(p.unresponsiveUntil) && now.Sub(p.heartbeatAt) <= maxMissedHeartbeats*m.heartbeatInterval()
}

// home returns the live gateway that schedules the requests to the group with a key. It is selected by
// rendezvous hashing among those with enough cores.
func (m *members) home(key string, now time.Time) Member {
	maxCores := m.self.Cores
	for _, p := range m.peers {
		if m.isLive(p, now) {
			maxCores = max(maxCores, p.Cores)
		}
	}
	hosts := make([]string, 0, len(m.peers)+1)
	if m.self.Cores >= largeHostFraction*maxCores {
		hosts = append(hosts, m.self.Host)
	}
	for host, p := range m.peers {
		if m.isLive(p, now) && p.Cores >= largeHostFraction*maxCores {
			hosts = append(hosts, host)
		}
	}
	if p := m.peers[rendezvous.First(key, hosts)]; p != nil {
		return p.Member
	}
	return m.self
}

// rank returns the position of this gateway in the rendezvous order of the live gateways for a key,
// starting at 0. Large hosts precede small ones.
func (m *members) rank(key string, now time.Time) int {
	large, small := m.splitByCapacity(now)
	return slices.Index(append(rendezvous.Rank(key, large), rendezvous.Rank(key, small)...), m.self.Host)
}

// splitByCapacity returns the live hosts, split into large ones, with many cores and a fast link, and small ones.
func (m *members) splitByCapacity(now time.Time) (large, small []string) {
	var largest Capacity
	live := m.live(now)
	for _, host := range live {
		c := m.capacity(host)
		largest = Capacity{max(largest.Cores, c.Cores), max(largest.LinkMbps, c.LinkMbps)}
	}
	for _, host := range live {
		c := m.capacity(host)
		if c.Cores >= largeHostFraction*largest.Cores && float64(c.LinkMbps) >= largeHostFraction*float64(largest.LinkMbps) {
			large = append(large, host)
		} else {
			small = append(small, host)
		}
	}
	return large, small
}

// slowestLinkMbps returns the speed of the slowest link of the live hosts, or 0 if none is known.
func (m *members) slowestLinkMbps(now time.Time) (mbps uint32) {
	for _, host := range m.live(now) {
		if link := m.capacity(host).LinkMbps; link > 0 && (mbps == 0 || link < mbps) {
			mbps = link
		}
	}
	return mbps
}

func (m *members) capacity(host string) Capacity {
	if p := m.peers[host]; p != nil {
		return p.Capacity
	}
	return m.self.Capacity
}
