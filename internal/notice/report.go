package notice

import "time"

// Report is what a gateway sends to the others about a server.
type Report struct {
	Server string `msgpack:"s"`
	// Draining reports whether the server is draining; DrainingAgeMs is the time since that became known.
	Draining      bool  `msgpack:"d,omitempty"`
	DrainingAgeMs int64 `msgpack:"t,omitempty"`
	// Limited reports whether the server states a rate limit; Limit is the limit in requests per second.
	Limited bool    `msgpack:"l,omitempty"`
	Limit   float64 `msgpack:"r,omitempty"`
	// LimitAgeMs is the time since the limit was stated or its absence was known, or 0 if no limit was ever
	// stated.
	LimitAgeMs int64 `msgpack:"a,omitempty"`
}

// resendSchedule determines when a change is sent again, in case a datagram was lost.
type resendSchedule struct {
	remaining      int
	nextAt, lastAt time.Time
}

const (
	// sendsPerChange is the number of times that a change is sent. resendInterval is the time between the
	// first two sends, and doubles with each further one. It is also the minimum time before the next
	// change is sent, because a server may state a different rate in every response.
	sendsPerChange = 3
	resendInterval = 200 * time.Millisecond
)

// start schedules the sends of a new change.
func (t *resendSchedule) start(now time.Time) {
	next := now
	if earliest := t.lastAt.Add(resendInterval); earliest.After(now) {
		next = earliest
	}
	t.remaining, t.nextAt = sendsPerChange, next
}

// due reports whether a send is due, and counts it.
func (t *resendSchedule) due(now time.Time) bool {
	if t.remaining == 0 || now.Before(t.nextAt) {
		return false
	}
	t.lastAt = now
	t.nextAt = now.Add(resendInterval << (sendsPerChange - t.remaining))
	t.remaining--
	return true
}

// Pending returns a channel that receives a value when there are changes to send.
func (r *Registry) ReportsReady() <-chan struct{} { return r.reportsReady }

// Due returns the reports that are due to be sent to all gateways.
func (r *Registry) DueReports(now time.Time) []Report {
	return r.collectReports(now, func(s *serverState) bool { return s.resends.due(now) })
}

// All returns the reports of all servers with notices in force, for a gateway that has just started.
func (r *Registry) AllReports(now time.Time) []Report {
	return r.collectReports(now, (*serverState).reportable)
}

// Report returns the report of one server, and whether the server is known.
func (r *Registry) Report(server string, now time.Time) (Report, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.servers[server]
	if s == nil {
		return Report{}, false
	}
	return s.report(server, now), true
}

func (r *Registry) collectReports(now time.Time, include func(*serverState) bool) []Report {
	if r.Empty() {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Report
	for server, s := range r.servers {
		if include(s) {
			out = append(out, s.report(server, now))
		}
	}
	return out
}

func (s *serverState) report(server string, now time.Time) Report {
	at := s.limitStatedAt
	if !s.limited {
		at = s.limitClearedAt
	}
	report := Report{Server: server, Limited: s.limited, Limit: s.limit}
	if !at.IsZero() {
		report.LimitAgeMs = max(now.Sub(at).Milliseconds(), 1)
	}
	if s.draining {
		report.Draining, report.DrainingAgeMs = true, now.Sub(s.drainingSince).Milliseconds()
	}
	return report
}

// Receive processes a report of another gateway. If this gateway knows that the reported limit has
// ended, it returns its own report as the reply, because an earlier one may have been lost.
func (r *Registry) ReceiveReport(report Report, from string, now time.Time) (reply *Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.lookup(report.Server, report.Limited || report.Draining, now)
	if s == nil {
		return nil
	}
	if report.Draining {
		r.setDraining(report.Server, s, now.Add(-time.Duration(report.DrainingAgeMs)*time.Millisecond), from, now)
	}
	at := now.Add(-time.Duration(report.LimitAgeMs) * time.Millisecond)
	switch {
	case report.Limited && at.Before(s.limitClearedAt):
		known := s.report(report.Server, now)
		return &known
	case report.Limited && (!s.limited || at.After(s.limitStatedAt)):
		r.setLimit(report.Server, s, report.Limit, at, from, now)
	case !report.Limited && report.LimitAgeMs > 0 && s.limited && at.After(s.limitStatedAt):
		r.clearLimit(report.Server, s, at, from, now)
	}
	return nil
}
