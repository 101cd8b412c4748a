package notice

import "time"

// Told is what a gateway tells the others of a server.
type Report struct {
	Server string `msgpack:"s"`
	// Draining is whether the server leaves, LeftMs how long ago that was known.
	Draining      bool  `msgpack:"d,omitempty"`
	DrainingAgeMs int64 `msgpack:"t,omitempty"`
	// Limited is whether the server states a limit, Limit its requests a second.
	Limited bool    `msgpack:"l,omitempty"`
	Limit   float64 `msgpack:"r,omitempty"`
	// AgeMs is how long ago that was known, 0 if nothing was ever stated.
	LimitAgeMs int64 `msgpack:"a,omitempty"`
}

// tells is when a change is told again, in case a datagram was lost.
type tells struct {
	left       int
	next, last time.Time
}

const (
	// tellTimes is how often a change is told, tellAgain the pause after the first time, also for the next
	// change: a server may state another rate in each answer. Each further one is twice as long.
	tellTimes = 3
	tellAgain = 200 * time.Millisecond
)

// begin has a new change told.
func (t *tells) begin(now time.Time) {
	next := now
	if soonest := t.last.Add(tellAgain); soonest.After(now) {
		next = soonest
	}
	t.left, t.next = tellTimes, next
}

// due reports whether it is time to tell, and counts it.
func (t *tells) due(now time.Time) bool {
	if t.left == 0 || now.Before(t.next) {
		return false
	}
	t.last = now
	t.next = now.Add(tellAgain << (tellTimes - t.left))
	t.left--
	return true
}

// Telling returns a channel on which something comes when there is something to tell.
func (b *Registry) Pending() <-chan struct{} { return b.wake }

// Due returns what is to be told to all now.
func (b *Registry) Due(now time.Time) []Report {
	return b.collect(now, func(s *state) bool { return s.tells.due(now) })
}

// All returns what is known of all servers, for a gateway that has just started.
func (b *Registry) All(now time.Time) []Report {
	return b.collect(now, (*state).inForce)
}

// Of returns what is known of one server.
func (b *Registry) Report(server string, now time.Time) (Report, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[server]
	if s == nil {
		return Report{}, false
	}
	return s.told(server, now), true
}

func (b *Registry) collect(now time.Time, wanted func(*state) bool) []Report {
	if b.Empty() {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Report
	for server, s := range b.servers {
		if wanted(s) {
			out = append(out, s.told(server, now))
		}
	}
	return out
}

func (s *state) told(server string, now time.Time) Report {
	at := s.stated
	if !s.limited {
		at = s.cleared
	}
	told := Report{Server: server, Limited: s.limited, Limit: s.limit}
	if !at.IsZero() {
		told.LimitAgeMs = max(now.Sub(at).Milliseconds(), 1)
	}
	if s.draining {
		told.Draining, told.DrainingAgeMs = true, now.Sub(s.leftAt).Milliseconds()
	}
	return told
}

// Told takes in what another gateway tells. Where this one knows better, it returns that, for the
// other: its word may have been lost there.
func (b *Registry) Receive(told Report, from string, now time.Time) (better *Report) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(told.Server, told.Limited || told.Draining, now)
	if s == nil {
		return nil
	}
	if told.Draining {
		b.setDraining(told.Server, s, now.Add(-time.Duration(told.DrainingAgeMs)*time.Millisecond), from, now)
	}
	at := now.Add(-time.Duration(told.LimitAgeMs) * time.Millisecond)
	switch {
	case told.Limited && at.Before(s.cleared):
		known := s.told(told.Server, now)
		return &known
	case told.Limited && (!s.limited || at.After(s.stated)):
		b.setLimit(told.Server, s, told.Limit, at, from, now)
	case !told.Limited && told.LimitAgeMs > 0 && s.limited && at.After(s.stated):
		b.clearLimit(told.Server, s, at, from, now)
	}
	return nil
}
