package peers

import "time"

// finding is the state of a topic of the store as a gateway found it.
type finding struct {
	Topic string
	State uint64 // a digest of the contents
	AgeMs int64  // since it was read
	// ContactMs is how long its finder's calls have been answered without a break.
	ContactMs int64
}

// found is a finding with the time at which it was read, by this gateway's clock.
type found struct {
	state uint64
	at    time.Time
	since time.Time // since when its finder's calls have been answered
}

// topicFindings are what this gateway and the others found.
type topicFindings struct {
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
	if t.own.state != state {
		f.news = true
	}
	t.own = found{state, at, since}
}

// hear takes in a finding of another gateway.
func (f *findings) hear(from finding, now time.Time) {
	t := f.topic(from.Topic)
	at := now.Add(-time.Duration(from.AgeMs) * time.Millisecond)
	if !at.After(t.heard.at) {
		return
	}
	t.heard = found{from.State, at, now.Add(-time.Duration(from.ContactMs) * time.Millisecond)}
	if t.heard.state != t.own.state && at.After(t.own.at) {
		close(t.changed)
		t.changed = make(chan struct{})
	}
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
func (p *Peers) Find(topic string, state uint64, at, since time.Time) {
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

// Heard returns the state of a topic that another gateway told last, 0 for none.
func (p *Peers) Heard(topic string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.findings.topic(topic).heard.state
}

// Confirmed returns when the state that this gateway has of a topic was last
// found to be the newest, and a channel that is closed when another gateway finds
// a newer one.
func (p *Peers) Confirmed(topic string) (at time.Time, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.findings.topic(topic)
	return t.confirmed(), t.changed
}

// SlowestLink returns the slowest link of the live gateways in Mbit/s, 0 where none is known.
func (p *Peers) SlowestLink() uint32 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members.slowestLink(time.Now())
}
