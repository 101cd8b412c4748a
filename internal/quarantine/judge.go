package quarantine

import (
	"slices"
	"time"
)

// judge reaches a verdict where the ends give one, when the other gateways have had time to tell what
// else ran on the last server.
func (l *Tracker) judge(id ID, e *entry, now time.Time) {
	if e.verdict != nil || len(e.ends) < endsForVerdict || now.Before(e.judgeAt) {
		return
	}
	if now.Sub(l.elder) < recent && l.seen(now) < recent {
		return // the others know better whether servers end all the time, and judge the same ends
	}
	l.weigh(e, now)
	if !guilty(e.ends, l.needed(id, e, now)) || l.rivalled(id, e) {
		return
	}
	e.verdict = newVerdict(e.ends, now)
	l.note(Event{Kind: Reached, ID: id, Crashes: slices.Clone(e.ends), Verdict: copied(e.verdict)})
	l.explainAll(id, e, now)
	l.change(e, true, now)
}

// judgeDue reaches the verdicts that are due.
func (l *Tracker) judgeDue(now time.Time) {
	for id, e := range l.entries {
		switch {
		case e.judgeAt.IsZero():
		case now.Before(e.judgeAt):
			l.dueBy(e.judgeAt)
		default:
			l.judge(id, e, now)
			e.judgeAt = time.Time{}
		}
	}
}

// rivalled reports whether another suspect ran on all the servers that ended, so that either may be the
// cause. As strong suspects run apart, the next end points to one of them; it is taken for granted
// that it does after two more.
func (l *Tracker) rivalled(id ID, e *entry) bool {
	if len(independent(e.ends)) >= endsForVerdict+2 {
		return false
	}
	for other, o := range l.entries {
		if other == id || len(o.ends) < len(e.ends) {
			continue
		}
		shared := func(end Crash) bool {
			return slices.ContainsFunc(o.ends, func(theirs Crash) bool { return theirs.Server == end.Server })
		}
		if !slices.ContainsFunc(e.ends, func(end Crash) bool { return !shared(end) }) {
			return true
		}
	}
	return false
}

// needed is how many ends it takes to blame the request.
func (l *Tracker) needed(id ID, e *entry, now time.Time) int {
	n := endsForVerdict + min(len(l.othersEnded(now, recent, l.ownOf(e))), endsForOthers)
	if l.hadCompany(id, e) {
		n += endsForCompany
	}
	return n
}

// hadCompany reports whether another request ran on all servers that ended but the last, whether it was
// cleared since or not.
func (l *Tracker) hadCompany(id ID, e *entry) bool {
	counted := independent(e.ends)
	if len(counted) < endsForVerdict {
		return false
	}
	common := l.met[counted[0].Server]
	for _, end := range counted[1 : len(counted)-1] {
		met := l.met[end.Server]
		common = slices.DeleteFunc(slices.Clone(common), func(other ID) bool { return !slices.Contains(met, other) })
	}
	return slices.ContainsFunc(common, func(other ID) bool { return other != id })
}

// ownOf accepts the servers that ended while they ran the request, and those whose end is explained.
func (l *Tracker) ownOf(e *entry) func(start string) bool {
	return func(start string) bool {
		_, explained := l.explained[start]
		return explained || slices.ContainsFunc(e.ends, func(end Crash) bool { return end.Server == start })
	}
}

// othersEnded are the servers that have ended within a time, as far as any gateway or the list has told,
// without those that skip accepts.
func (l *Tracker) othersEnded(now time.Time, within time.Duration, skip func(start string) bool) (starts []string) {
	for start, at := range l.ended {
		if now.Sub(at) < within && !skip(start) {
			starts = append(starts, start)
		}
	}
	return starts
}

// endRate is how often a server ends, in times a second. Where one request is all that is asked for,
// nothing else meets the ends of servers.
func (l *Tracker) endRate(now time.Time, skip func(start string) bool) float64 {
	most := 0.0
	for _, window := range hazardWindows {
		span := time.Duration(window) * hazardStep
		most = max(most, float64(len(l.othersEnded(now, span, skip)))/span.Seconds()/float64(max(l.servers, 1)))
	}
	return most
}

// weigh sets how likely the recent ends of a request were, by what is seen of other servers.
func (l *Tracker) weigh(e *entry, now time.Time) {
	own := l.ownOf(e)
	rate := max(l.hazard.rate(now, own), l.endRate(now, own))
	for i := range e.ends {
		if now.Sub(e.ends[i].At) < recent {
			e.ends[i].rate = max(e.ends[i].rate, rate)
		}
	}
}

// seen is for how long this gateway has seen how often servers end, up to recent.
func (l *Tracker) seen(now time.Time) time.Duration {
	if l.hazard.begin.IsZero() {
		return 0
	}
	return min(now.Sub(l.hazard.begin), recent)
}

// explainAll has a verdict explain the ends to all others that ran there.
func (l *Tracker) explainAll(id ID, e *entry, now time.Time) {
	for _, end := range e.ends {
		l.explain(id, end.Server, now)
	}
	for _, start := range e.verdict.Servers {
		l.explain(id, start, now)
	}
}

func (l *Tracker) explain(by ID, start string, now time.Time) {
	l.remember(l.explained, start, now)
	for id, e := range l.entries {
		if id == by {
			continue
		}
		if e.verdict != nil {
			l.acquit(id, e, l.entries[by], now)
			continue
		}
		before := len(e.ends)
		e.ends = slices.DeleteFunc(e.ends, func(end Crash) bool { return end.Server == start })
		if len(e.ends) < before {
			l.change(e, false, now)
			l.dropEmpty(id, e)
		}
	}
}

// acquit ends a verdict where all of its ends are among more ends of another request: gateways that could
// not hear each other took what ran beside that for the cause.
func (l *Tracker) acquit(id ID, e, other *entry, now time.Time) {
	if other == nil || e.verdict.Trials > 0 || len(e.ends) == 0 || len(other.ends) <= len(e.ends) {
		return
	}
	for _, end := range e.ends {
		if !slices.ContainsFunc(other.ends, func(theirs Crash) bool { return theirs.Server == end.Server }) {
			return
		}
	}
	l.note(Event{Kind: Lifted, ID: id, Cause: Explained, Crashes: slices.Clone(e.ends), Verdict: copied(e.verdict)})
	e.clear(now)
	l.change(e, true, now)
}
