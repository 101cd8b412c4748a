package quarantine

import (
	"bytes"
	"math"
	"slices"
	"time"
)

// strongPart reports whether a part is a strong suspect, whose runs are serialized. The crashes of a single request are
// evidence against that request, not against the parts of its prompt.
func (e *entry) strongPart() bool { return e.hasIndependentCrashes(strongSuspectCrashes) }

func (e *entry) hasIndependentCrashes(n int) bool {
	return len(e.crashes) >= n && len(independentCrashes(e.crashes)) >= n && !hasCommonRequest(e.crashes)
}

// hasCommonRequest reports whether a single request ran on all crashed servers.
func hasCommonRequest(crashes []Crash) bool {
	return len(crashes) > 0 && slices.ContainsFunc(crashes[0].requests, func(tag uint16) bool {
		return !slices.ContainsFunc(crashes, func(c Crash) bool { return !slices.Contains(c.requests, tag) })
	})
}

// withRequests returns the union of two sorted lists of request tags, up to maxRequestTags. Keeping the lowest tags
// makes the result independent of the order in which gateways learn of them.
func withRequests(a, b []uint16) []uint16 {
	out := slices.Clone(a)
	for _, tag := range b {
		if i, found := slices.BinarySearch(out, tag); !found {
			out = slices.Insert(out, i, tag)
		}
	}
	return out[:min(len(out), maxRequestTags)]
}

// evaluateAfterCrash returns when to evaluate a part after a crash, or the zero time if it has too few crashes.
func (e *entry) evaluateAfterCrash(now time.Time) time.Time {
	if !e.hasIndependentCrashes(minCrashes) {
		return time.Time{}
	}
	settled, confirmed := e.settledAt(), now.Add(partConfirmDelay)
	if settled.After(confirmed) {
		return settled
	}
	return confirmed
}

// settledAt returns the end of the settleTime of a part with enough crashes for a verdict.
func (e *entry) settledAt() time.Time {
	return independentCrashes(e.crashes)[minCrashes-1].At.Add(settleTime)
}

// crashedAgain reports whether a run of the part after its settleTime, apart from other suspects, has crashed its server:
// one that no other suspect may have crashed instead, or several.
func (t *Tracker) crashedAgain(e *entry) bool {
	settled, ambiguous := e.settledAt().Add(-clockSkewTolerance), 0
	for _, crash := range e.crashes {
		if !crash.isolated || !crash.SentAt.After(settled) {
			continue
		}
		if !t.hasOtherCause(e, crash) {
			return true
		}
		ambiguous++
	}
	return ambiguous >= maxAmbiguousCrashes
}

// hasOtherCause reports whether another suspect may have crashed the server: one in the same request that is not a
// companion, or one in another request that has at least as many crashes as the part.
func (t *Tracker) hasOtherCause(e *entry, crash Crash) bool {
	for _, other := range t.entries {
		switch {
		case other == e:
		case other.hasCrash(crash, sameRequest):
			if len(other.crashes) >= minCrashes && !(len(other.crashes) == len(e.crashes) && other.covers(e, sameRequest)) {
				return true
			}
		case len(other.crashes) >= len(e.crashes) && other.hasCrash(crash, sameServer):
			return true
		}
	}
	return false
}

// evaluatePart quarantines a part and its companions if their crashes are conclusive and no other part explains them
// as well.
func (t *Tracker) evaluatePart(id ID, e *entry, now time.Time) {
	if e.verdict != nil {
		t.removeCompanions(id, e, t.acquitted(id, e), now)
		return
	}
	if now.Before(e.evaluateAt) || !e.hasIndependentCrashes(minCrashes) || !t.crashedAgain(e) || t.chanceOfCrashes(e, now) >= maxChanceProbability {
		return
	}
	companions, alternative := t.alternatives(id, e)
	if alternative != noAlternative {
		return
	}
	group := append([]ID{id}, companions[:min(len(companions), maxCompanions)]...)
	for _, member := range group {
		m := t.entries[member]
		m.verdict = newVerdict(m.crashes, now)
		m.verdict.Part = m.name
		m.verdict.Companions = slices.DeleteFunc(slices.Clone(group), func(other ID) bool { return other == member })
	}
	for _, member := range group {
		m := t.entries[member]
		t.emit(Event{Kind: EventQuarantined, ID: member, Part: m.name, Crashes: slices.Clone(m.crashes), Verdict: cloneVerdict(m.verdict)})
		t.explainAll(member, m, now)
		t.notifyChange(m, true, now)
	}
}

// chanceOfCrashes returns the probability that all independent crashes coincided with runs of a harmless part. Unlike
// conclusive, it includes the part's own crashes in the rate of server crashes, and takes account of how common the part
// is, because a common part is on every server that crashes.
func (t *Tracker) chanceOfCrashes(e *entry, now time.Time) float64 {
	t.updatePartCrashRates(e, now)
	probability, presence := 1.0, t.chanceOfPresence(e, now)
	for _, crash := range independentCrashes(e.crashes) {
		rate := max(crash.rate, t.crashRateAround(crash.At, now))
		probability *= max(crashProbability(max(crash.At.Sub(crash.SentAt), minPartRunDuration), rate), presence)
	}
	return probability
}

// exposure is the time that requests with a part have spent starting on servers since the part became a suspect.
type exposure struct {
	since  time.Time
	total  time.Duration      // at this gateway
	remote map[string]float64 // mean number of requests that are starting, by other gateway
}

// concurrency returns the mean number of requests with the part that are starting for this gateway.
func (x exposure) concurrency(now time.Time) float64 {
	if x.since.IsZero() {
		return 0
	}
	return x.total.Seconds() / max(now.Sub(x.since), minExposureTime).Seconds()
}

// RecordExposure records that a request with these parts took the given time to start on a server, or until the server
// crashed.
func (t *PartTracker) RecordExposure(parts []Part, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range parts {
		if e := t.entries[p.ID]; e != nil && e.suspect() {
			e.exposure.total += d
		}
	}
}

// chanceOfPresence returns the probability that a request with a harmless part is starting on a given server.
func (t *Tracker) chanceOfPresence(e *entry, now time.Time) float64 {
	concurrency := e.exposure.concurrency(now)
	for _, c := range e.exposure.remote {
		concurrency += c
	}
	return 1 - math.Exp(-concurrency/float64(max(t.serverCount, 1)))
}

// updatePartCrashRates sets the rates stored with a part's recent crashes to the rate at which runs are lost on
// other servers.
func (t *Tracker) updatePartCrashRates(e *entry, now time.Time) {
	rate := t.hazard.rate(now, t.ownOrExplained(e))
	for i := range e.crashes {
		if now.Sub(e.crashes[i].At) < recentCrashWindow {
			e.crashes[i].rate = rate
		}
	}
}

// crashRateAround returns the highest rate, in crashes per server and second, in the windows around a time. It omits
// crashes that are attributed to quarantined parts.
func (t *Tracker) crashRateAround(at, now time.Time) float64 {
	rate, servers := minCrashRate, 0
	for i, buckets := range hazardWindowBuckets {
		window := time.Duration(buckets) * hazardBucketDuration
		crashes := 0
		for instance, crashedAt := range t.crashedServers {
			if _, explained := t.explainedCrashes[instance]; !explained && crashedAt.Sub(at).Abs() < window {
				crashes++
			}
		}
		if i == 0 {
			servers = max(t.serverCount+crashes, 1) // those that crashed in the shortest window were up before
		}
		span := window + min(window, max(now.Sub(at), 0))
		rate = max(rate, float64(crashes)/span.Seconds()/float64(servers))
	}
	return rate
}

// alternative is how well other parts explain the crashes of a part.
type alternative int

const (
	noAlternative     alternative = iota
	equalAlternative              // the same crashes, in other requests
	betterAlternative             // these and further crashes
)

// alternatives returns the parts that were in the same requests as a part on all of its crashed servers, in ascending
// order, and how well parts of other requests explain its crashes.
func (t *Tracker) alternatives(id ID, e *entry) (companions []ID, found alternative) {
	for otherID, other := range t.entries {
		if otherID == id || other.verdict != nil || len(other.crashes) < len(e.crashes) || !other.covers(e, sameServer) {
			continue
		}
		switch {
		case len(other.crashes) > len(e.crashes):
			found = betterAlternative
		case other.covers(e, sameRequest):
			companions = append(companions, otherID)
		default:
			found = max(found, equalAlternative)
		}
	}
	slices.SortFunc(companions, compareIDs)
	return companions, found
}

func compareIDs(a, b ID) int { return bytes.Compare(a[:], b[:]) }

// covers reports whether each crash of another part matches one of this part.
func (e *entry) covers(other *entry, match func(a, b Crash) bool) bool {
	return !slices.ContainsFunc(other.crashes, func(crash Crash) bool { return !e.hasCrash(crash, match) })
}

func (e *entry) hasCrash(crash Crash, match func(a, b Crash) bool) bool {
	return slices.ContainsFunc(e.crashes, func(c Crash) bool { return match(c, crash) })
}

func sameServer(a, b Crash) bool { return a.Server == b.Server }

// sameRequest reports whether the same request ran on the same crashed server.
func sameRequest(a, b Crash) bool {
	return a.Server == b.Server && slices.ContainsFunc(a.requests, func(tag uint16) bool { return slices.Contains(b.requests, tag) })
}

// attributable reports whether a crash of a quarantined part is attributed to it. A later crash of a request without
// the part's companions is not, as the verdict does not apply to that request.
func (t *Tracker) attributable(e *entry, crash Crash) bool {
	if !crash.At.After(e.verdict.Since) {
		return true
	}
	return !slices.ContainsFunc(e.verdict.Companions, func(id ID) bool {
		c := t.entries[id]
		return c == nil || !c.hasCrash(crash, sameRequest)
	})
}

// acquitted returns the companions that were missing in several crashes since the verdict on a part.
func (t *Tracker) acquitted(id ID, e *entry) (out []ID) {
	for _, companion := range e.verdict.Companions {
		c := t.entries[companion]
		without := slices.DeleteFunc(slices.Clone(e.crashes), func(crash Crash) bool {
			return !crash.At.After(e.verdict.Since) || c != nil && c.hasCrash(crash, sameRequest)
		})
		if len(independentCrashes(without)) >= minNarrowingCrashes && !hasCommonRequest(without) {
			out = append(out, companion)
		}
	}
	return out
}

// removeCompanions removes companions from the verdict on a part, so that it applies to more requests.
func (t *Tracker) removeCompanions(id ID, e *entry, companions []ID, now time.Time) {
	remaining := without(e.verdict.Companions, companions)
	if len(remaining) == len(e.verdict.Companions) {
		return
	}
	e.verdict.Companions = remaining
	t.emit(Event{Kind: EventNarrowed, ID: id, Part: e.name, Crashes: slices.Clone(e.crashes), Verdict: cloneVerdict(e.verdict)})
	t.explainAll(id, e, now)
	t.notifyChange(e, true, now)
}

func without(ids, removed []ID) []ID {
	return slices.DeleteFunc(slices.Clone(ids), func(id ID) bool { return slices.Contains(removed, id) })
}

// intersect returns the IDs that are in both lists.
func intersect(a, b []ID) []ID {
	return slices.DeleteFunc(slices.Clone(a), func(id ID) bool { return !slices.Contains(b, id) })
}
