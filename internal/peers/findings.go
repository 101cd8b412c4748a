package peers

import (
	"net/netip"
	"slices"
	"time"
)

// finding is the state of a topic of the store as a gateway found it.
type finding struct {
	Topic string
	State uint64 // a digest of the contents, or their version
	AgeMs int64  // since it was read
	// ContactMs is how long its finder's calls have been answered without a break.
	ContactMs int64
}

// found is a finding with the time at which it was read, by this gateway's clock.
type found struct {
	state uint64
	at    time.Time
	since time.Time // since when its finder's calls have been answered
	from  netip.AddrPort
}

// topicFindings are what this gateway and the others found.
type topicFindings struct {
	// versioned states have an order: a higher one is newer whenever it was read, and the word
	// of a gateway that is behind is none.
	versioned  bool
	own, heard found
	changed    chan struct{} // closed when a newer state is heard
}

// findings holds the topics. It is not safe for concurrent use.
type findings struct {
	topics map[string]*topicFindings
	news   bool // this gateway has found a state that it has not told yet
}

// tellFor is how long a finding of its own makes a gateway tell it to the others.
const tellFor = 2 * time.Second

func (f *findings) topic(name string) *topicFindings {
	if f.topics == nil {
		f.topics = map[string]*topicFindings{}
	}
	t := f.topics[name]
	if t == nil {
		t = &topicFindings{changed: make(chan struct{})}
		f.topics[name] = t
	}
	return t
}

// find records what this gateway has read.
func (f *findings) find(name string, state uint64, at, since time.Time) {
	t := f.topic(name)
	// What another has told is no news.
	if t.own.state != state && (state != t.heard.state || at.After(t.heard.at)) {
		f.news = true
	}
	t.own = found{state: state, at: at, since: since}
}

// hear takes in a finding of another gateway.
func (f *findings) hear(told finding, from netip.AddrPort, now time.Time) {
	t := f.topic(told.Topic)
	heard := found{told.State, now.Add(-time.Duration(told.AgeMs) * time.Millisecond),
		now.Add(-time.Duration(told.ContactMs) * time.Millisecond), from}
	if !t.replaces(heard) {
		return
	}
	t.heard = heard
	if t.outdated() {
		close(t.changed)
		t.changed = make(chan struct{})
	}
}

// replaces reports whether a finding says more than the one heard last.
func (t *topicFindings) replaces(next found) bool {
	if t.versioned && next.state != t.heard.state {
		return next.state > t.heard.state
	}
	return next.at.After(t.heard.at)
}

// outdated reports whether another gateway has a newer state.
func (t *topicFindings) outdated() bool {
	if t.versioned {
		return t.heard.state > t.own.state
	}
	return t.heard.state != t.own.state && t.heard.at.After(t.own.at)
}

// own returns what is to be told to the others.
func (f *findings) own(now time.Time) []finding {
	var out []finding
	for name, t := range f.topics {
		if age := now.Sub(t.own.at); !t.own.at.IsZero() && age < tellFor && t.own.at.After(t.heard.at) {
			out = append(out, finding{name, t.own.state, age.Milliseconds(), now.Sub(t.own.since).Milliseconds()})
		}
	}
	return out
}

// confirmed returns when the state that this gateway has was last found to be
// the newest, by it or by another.
func (t *topicFindings) confirmed() time.Time {
	if t.heard.state == t.own.state && t.heard.at.After(t.own.at) {
		return t.heard.at
	}
	return t.own.at
}

// Find records the state of a topic that this gateway has read at a time, and since
// when its calls have been answered without a break.
func (p *Peers) ReportState(topic string, state uint64, at, since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.findings.find(topic, state, at, since)
}

// StoreUpSince returns since when the calls of the gateway that was heard last about
// a topic have been answered without a break; zero if none was.
func (p *Peers) StoreUpSince(topic string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.findings.topic(topic).heard.since
}

// Versioned makes the states of a topic versions.
func (p *Peers) SetVersioned(topic string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.findings.topic(topic).versioned = true
}

// Newer returns the state of a topic that another gateway told, where that is newer than this
// one's: who told it, and when it was the newest.
func (p *Peers) NewerState(topic string) (at time.Time, from netip.AddrPort, newer bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.findings.topic(topic)
	return t.heard.at, t.heard.from, t.outdated()
}

// Heard returns the state of a topic that another gateway told last, 0 for none.
func (p *Peers) ReportedState(topic string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.findings.topic(topic).heard.state
}

// Confirmed returns when the state that this gateway has of a topic was last
// found to be the newest, and a channel that is closed when another gateway finds
// a newer one.
func (p *Peers) LastConfirmed(topic string) (at time.Time, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.findings.topic(topic)
	return t.confirmed(), t.changed
}

// Small reports whether this host has a small processor or link against the largest, and whether
// any has.
func (p *Peers) SmallHosts() (self, some bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, small := p.members.bySize(time.Now())
	return slices.Contains(small, p.members.self.Host), len(small) > 0
}

// SlowestLink returns the slowest link of the live gateways in Mbit/s, 0 where none is known.
func (p *Peers) SlowestLinkMbps() uint32 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members.slowestLink(time.Now())
}
