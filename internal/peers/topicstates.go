package peers

import (
	"net/netip"
	"slices"
	"time"
)

// stateReport is the state of a topic of the store as read by the sending gateway.
type stateReport struct {
	Topic string
	State uint64 // digest of the contents, or their version
	AgeMs int64  // time since it was read
	// ContactMs is the time for which the store has answered the sender's calls without interruption.
	ContactMs int64
}

// observedState is a state with the time at which it was read, by this gateway's clock.
type observedState struct {
	state        uint64
	readAt       time.Time
	storeUpSince time.Time // when the store began to answer the reader's calls without interruption
	from         netip.AddrPort
}

// topicState is the state of a topic as read by this gateway and as reported by the others.
type topicState struct {
	// versioned is set if states are versions: a higher one is newer regardless of when it was read,
	// and reports of lower versions are ignored.
	versioned     bool
	local, remote observedState
	changed       chan struct{} // closed when a newer state is reported
}

// topicStates holds the states of all topics. It is not safe for concurrent use.
type topicStates struct {
	topics        map[string]*topicState
	reportPending bool // this gateway has read a state that it has not reported yet
}

// reportFor is how long a gateway reports a state after reading it.
const reportPeriod = 2 * time.Second

func (s *topicStates) topic(name string) *topicState {
	if s.topics == nil {
		s.topics = map[string]*topicState{}
	}
	t := s.topics[name]
	if t == nil {
		t = &topicState{changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// record stores a state that this gateway has read.
func (s *topicStates) record(name string, state uint64, at, since time.Time) {
	t := s.topic(name)
	// A state that another gateway has reported need not be reported again.
	if t.local.state != state && (state != t.remote.state || at.After(t.remote.readAt)) {
		s.reportPending = true
	}
	t.local = observedState{state: state, readAt: at, storeUpSince: since}
}

// receive processes a report of another gateway.
func (s *topicStates) receive(report stateReport, from netip.AddrPort, now time.Time) {
	t := s.topic(report.Topic)
	remote := observedState{report.State, now.Add(-time.Duration(report.AgeMs) * time.Millisecond),
		now.Add(-time.Duration(report.ContactMs) * time.Millisecond), from}
	if !t.replaces(remote) {
		return
	}
	t.remote = remote
	if t.outdated() {
		close(t.changed)
		t.changed = make(chan struct{})
	}
}

// replaces reports whether a reported state supersedes the remote state that is kept.
func (t *topicState) replaces(next observedState) bool {
	if t.versioned && next.state != t.remote.state {
		return next.state > t.remote.state
	}
	return next.readAt.After(t.remote.readAt)
}

// outdated reports whether another gateway has a newer state.
func (t *topicState) outdated() bool {
	if t.versioned {
		return t.remote.state > t.local.state
	}
	return t.remote.state != t.local.state && t.remote.readAt.After(t.local.readAt)
}

// reports returns the states to report to the others: those that this gateway has read recently, and later than
// any other gateway.
func (s *topicStates) reports(now time.Time) []stateReport {
	var out []stateReport
	for name, t := range s.topics {
		if age := now.Sub(t.local.readAt); !t.local.readAt.IsZero() && age < reportPeriod && t.local.readAt.After(t.remote.readAt) {
			out = append(out, stateReport{name, t.local.state, age.Milliseconds(), now.Sub(t.local.storeUpSince).Milliseconds()})
		}
	}
	return out
}

// confirmedAt returns when this gateway's state was last read from the store, by this gateway or
// another one.
func (t *topicState) confirmedAt() time.Time {
	if t.remote.state == t.local.state && t.remote.readAt.After(t.local.readAt) {
		return t.remote.readAt
	}
	return t.local.readAt
}

// ReportState records the state of a topic that this gateway read at the given time, and since when the
// store has answered its calls without interruption. The state is reported in heartbeats.
func (p *Peers) ReportState(topic string, state uint64, at, since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.states.record(topic, state, at, since)
}

// StoreUpSince returns since when the store has answered the calls of the gateway whose report on
// a topic is in use without interruption; zero if there is no report.
func (p *Peers) StoreUpSince(topic string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.states.topic(topic).remote.storeUpSince
}

// SetVersioned declares that the states of a topic are versions: higher ones are newer.
func (p *Peers) SetVersioned(topic string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.states.topic(topic).versioned = true
}

// NewerState reports whether another gateway has reported a newer state of a topic than this gateway's.
// From is the gateway whose report is in use, and at the time at which it read the state.
func (p *Peers) NewerState(topic string) (at time.Time, from netip.AddrPort, newer bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.states.topic(topic)
	return t.remote.readAt, t.remote.from, t.outdated()
}

// ReportedState returns the state of a topic that other gateways have reported, or 0 if there is no report.
func (p *Peers) ReportedState(topic string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.states.topic(topic).remote.state
}

// LastConfirmed returns when this gateway's state of a topic was last confirmed to be the newest, and a
// channel that is closed when another gateway reports a newer one.
func (p *Peers) LastConfirmed(topic string) (at time.Time, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.states.topic(topic)
	return t.confirmedAt(), t.changed
}

// SmallHosts reports whether this host, and whether any live host, has a small processor or a slow link
// compared with the largest.
func (p *Peers) SmallHosts() (self, anyHost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, small := p.members.splitByCapacity(time.Now())
	return slices.Contains(small, p.members.self.Host), len(small) > 0
}

// SlowestLinkMbps returns the speed of the slowest link of the live gateways in Mbit/s, or 0 if none is known.
func (p *Peers) SlowestLinkMbps() uint32 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members.slowestLinkMbps(time.Now())
}
