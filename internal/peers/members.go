package peers

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/merlinpost/merlinpost/internal/rendezvous"
)

// Member is a gateway.
type Member struct {
	Host    string
	Address netip.AddrPort
	Capacity
}

// Capacity describes a gateway's host; zero values are unknown.
type Capacity struct {
	Cores    float64 `msgpack:"c,omitempty"` // available to the gateway
	LinkMbps uint32  `msgpack:"w,omitempty"`
}

const (
	// minHeartbeatInterval is the heartbeat interval in a small deployment.
	minHeartbeatInterval = time.Second
	// heartbeatIntervalPerMember makes the interval proportional to the number of members, to limit
	// the traffic of each host. With 390 members, each receives a heartbeat every 19.5 s: the host
	// sends 20 datagrams of about 90 bytes per second.
	heartbeatIntervalPerMember = 50 * time.Millisecond
	// maxMissedHeartbeats is the number of consecutive heartbeats that a live member may miss.
	maxMissedHeartbeats = 3
	// unresponsiveFor is how long a member that did not answer counts as down, unless a heartbeat
	// arrives from it earlier.
	unresponsivePeriod = 3 * time.Second
	// largeHostFraction is the fraction of the largest member's cores that a member needs to be the
	// home of a group of engines, and the fraction of cores and link speed that it needs to be
	// preferred for reading the store on behalf of the others. A small host would be overloaded by
	// the requests of all gateways; a host on a slow link would receive a large value, and report
	// it, much later.
	largeHostFraction = 0.5
	// rateShareRetention is how long a silent member keeps its share of rate limits: it may be partitioned
	// from this gateway and still send requests. The limit frees the shares of hosts that never return.
	rateShareRetention = time.Minute
	// slackShareRetention is how long a silent member keeps its share of the retry budgets' slack.
	slackShareRetention = time.Hour
	// joinDelay is how long a gateway uses none of the slack after it is first listed in the store, so that
	// the others learn of it first. joinDelayIntervals is the same delay in heartbeat intervals; the longer
	// one applies.
	joinDelay, joinDelayIntervals = 1200 * time.Millisecond, 1.2
)

// members is this gateway's view of the membership. It is not safe for concurrent use.
type members struct {
	self  Member
	start time.Time
	peers map[string]*peerState // by host, excluding self
	// listedAt is when the store first listed this gateway.
	listedAt time.Time
	// stalledAt is the end of the last stall of this process. It received no heartbeats during the stall.
	stalledAt time.Time
}

// peerState is the state of another gateway.
type peerState struct {
	Member
	heartbeatAt        time.Time // time of the last heartbeat, zero if none
	listedAt           time.Time // when the store first listed it
	unresponsiveUntil  time.Time
	leaving            bool
	estimates          []engineEstimates // from its last heartbeat that had any
	initialStateSentAt time.Time
}

func newMembers(self Member, now time.Time) *members {
	return &members{self: self, start: now, peers: map[string]*peerState{}}
}

// heartbeatInterval returns the interval at which each member is sent a heartbeat.
func (m *members) heartbeatInterval() time.Duration {
	return max(minHeartbeatInterval, time.Duration(len(m.peers))*heartbeatIntervalPerMember)
}

// addListed adds members listed in the store. A listed member is not necessarily up.
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

// peer returns the state of a member and creates it if necessary. The state is reset when the
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

// markUnresponsive records that the member at an address did not answer.
func (m *members) markUnresponsive(at netip.AddrPort, now time.Time) {
	for _, p := range m.peers {
		if p.Address == at {
			p.unresponsiveUntil = now.Add(unresponsivePeriod)
		}
	}
}

// live returns the hosts that are up, including this one, in alphabetical order.
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

// rateSharers returns the number of gateways, including this one, that share the rate limits of servers:
// all that may be sending requests, including silent ones.
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

// slackSharers returns the number of gateways, including this one, that share the slack of the retry budgets;
// 0 while the others may not know of this one. A silent member may be partitioned and still use its share, so
// it is counted for slackShareRetention, and for as long as at least a third of all gateways are silent.
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

// isLive reports whether a member is up.
func (m *members) isLive(p *peerState, now time.Time) bool {
	return !p.heartbeatAt.IsZero() && !p.leaving && now.After(p.unresponsiveUntil) && now.Sub(p.heartbeatAt) <= maxMissedHeartbeats*m.heartbeatInterval()
}

// home returns the live gateway that schedules the group with a key, chosen by rendezvous hashing among those
// with enough cores.
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

// rank returns the position of this gateway in the order of the live gateways for a key, starting
// at 0. Hosts with large processors and fast links precede the others.
func (m *members) rank(key string, now time.Time) int {
	large, small := m.splitByCapacity(now)
	return slices.Index(append(rendezvous.Rank(key, large), rendezvous.Rank(key, small)...), m.self.Host)
}

// splitByCapacity returns the live hosts, split into large and small ones.
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
