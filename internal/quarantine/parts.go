package quarantine

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"
)

const (
	// StartPeriod is how long a stream must have sent events to show that its prompt does not crash the server: a
	// fatal part crashes the server when it begins to generate.
	StartPeriod = 400 * time.Millisecond
	// settleTime is the time from the third crash of a part until the next run with it. Streams that started in the
	// meantime have reached StartPeriod by then, and clear the parts that they have. A verdict requires that a run after
	// that crashes its server too.
	settleTime = StartPeriod + 150*time.Millisecond
	// otherSuspectDelay is how much longer runs then wait for each crash of another suspected part that they have. The
	// results of runs without such a part are unambiguous, so these come first.
	otherSuspectDelay = 200 * time.Millisecond
	// partConfirmDelay is the time from any further crash to the evaluation. It covers one lost datagram.
	partConfirmDelay = 150 * time.Millisecond
	// minExposureTime is the shortest time over which the exposure of a part is averaged.
	minExposureTime = time.Second
	// minPartRunDuration is the shortest duration that is assumed for a run. It covers the time until gateways know of
	// a crash, during which they send further requests to the server.
	minPartRunDuration = 25 * time.Millisecond
	// maxAmbiguousCrashes is the number of ambiguous crashes of isolated runs that suffice for a verdict. Runs without
	// other suspects come first, so that there is none that survived.
	maxAmbiguousCrashes = 4
	// minNarrowingCrashes is the number of crashes without a companion that remove it from a verdict.
	minNarrowingCrashes = 2
	// maxParts limits the parts of a prompt that are tracked, maxPartNameLength the length of their names.
	maxParts, maxPartNameLength = 64, 32
	// maxPartCrashes, maxRequestTags and maxCompanions limit the state of a part such that an update fits in a
	// datagram.
	maxPartCrashes, maxRequestTags, maxCompanions = 12, 6, 6
)

// PartName describes a prompt part to operators. Long names are shortened.
type PartName struct {
	Team  string `json:"team" msgpack:"t"`
	Model string `json:"model" msgpack:"m"`
	Part  string `json:"part" msgpack:"p"`
}

// Part is a part of a prompt that several requests share. It belongs to a team and a model, so that no team can have
// another team's requests refused.
type Part struct {
	ID   ID
	Name PartName
}

// IdentifyParts returns the distinct parts of a prompt, at most maxParts.
func IdentifyParts(team, model string, parts []string) []Part {
	var out []Part
	for _, part := range parts {
		id := digest([]string{"prompt part", team, model, part}, nil)
		if !slices.ContainsFunc(out, func(p Part) bool { return p.ID == id }) {
			out = append(out, Part{id, PartName{team, model, part}})
		}
		if len(out) == maxParts {
			break
		}
	}
	return out
}

// shortened returns a copy that does not retain the memory of a request's headers.
func (n PartName) shortened() *PartName {
	short := func(s string) string { return strings.Clone(s[:min(len(s), maxPartNameLength)]) }
	return &PartName{short(n.Team), short(n.Model), short(n.Part)}
}

// PartTracker is a Tracker of prompt parts: of causes that different requests share. A part is refused together with
// its companions, which are the parts that were in the same requests on all crashed servers. Requests that have only
// some of them are sent, and their responses show which of them are harmless.
type PartTracker struct{ *Tracker }

// NewPartTracker returns an empty tracker.
func NewPartTracker() *PartTracker {
	t := New()
	t.parts = true
	return &PartTracker{t}
}

// RecordCrash records that a server crashed while a request with these parts started on it. It returns the parts that
// are strong suspects now.
func (t *PartTracker) RecordCrash(request ID, parts []Part, crash Crash, now time.Time) (strong []ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hazard.addCrash(crash.Server, now)
	t.recordCrashTime(t.crashedServers, crash.Server, crash.At)
	crash.requests = []uint16{binary.BigEndian.Uint16(request[:])}
	for _, p := range t.quarantinedFirst(parts) {
		e := t.entry(p.ID)
		if e.name == nil {
			e.name = p.Name.shortened()
		}
		wasStrong := e.strongPart()
		crash.isolated = t.ranIsolated(e, crash.Server, now)
		if t.addCrash(p.ID, e, crash, now) {
			if e.strongPart() && !wasStrong {
				t.emit(Event{Kind: EventSuspected, ID: p.ID, Part: e.name, Crashes: slices.Clone(e.crashes), Verdict: cloneVerdict(e.verdict)})
			}
			t.notifyChange(e, true, now)
		}
		if e.strongPart() && e.verdict == nil {
			strong = append(strong, p.ID)
		}
		t.removeIfEmpty(p.ID, e)
	}
	return strong
}

// quarantinedFirst returns the parts with those that are quarantined first: the crash is attributed to them and is no
// evidence against the others.
func (t *Tracker) quarantinedFirst(parts []Part) []Part {
	rank := func(p Part) int {
		if e := t.entries[p.ID]; e != nil && e.verdict != nil {
			return 0
		}
		return 1
	}
	return slices.SortedStableFunc(slices.Values(parts), func(a, b Part) int { return rank(a) - rank(b) })
}

// RecordStart records that a server generated a response to a request with these parts without crashing. The response
// must be complete or must have been streamed for StartPeriod. began is when it began. If that was after the first crash
// of a part, the part is not what causes these crashes.
func (t *PartTracker) RecordStart(parts []Part, began, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range parts {
		if t.refutePart(p.ID, began, now) {
			t.notifyChange(t.entries[p.ID], true, now)
		}
	}
}

// refutePart clears a part of which a run that began at the given time did not crash, if a crash or the verdict on the
// part was earlier. It reports whether the part's entry changed.
func (t *Tracker) refutePart(id ID, began, now time.Time) (changed bool) {
	e := t.entries[id]
	refuted := e != nil && slices.ContainsFunc(e.crashes, func(crash Crash) bool { return crash.At.Before(began) })
	if refuted || e != nil && e.verdict != nil && e.verdict.Since.Before(began) {
		t.clearPart(id, e, now, CauseAnswered)
		changed = true
	}
	for otherID, other := range t.entries {
		if other.verdict != nil && slices.Contains(other.verdict.Companions, id) && (refuted || other.verdict.Since.Before(began)) {
			t.removeCompanions(otherID, other, []ID{id}, now)
		}
	}
	return changed
}

// clearPart removes the evidence against a part and its verdict that are not newer than at.
func (t *Tracker) clearPart(id ID, e *entry, at time.Time, cause LiftCause) {
	verdict := cloneVerdict(e.verdict)
	e.clear(at)
	if verdict != nil && e.verdict == nil {
		t.emit(Event{Kind: EventLifted, ID: id, Part: e.name, Cause: cause, Verdict: verdict})
	}
}

// Lift ends the quarantine of a part and its companions on behalf of an operator. It reports whether the part was
// quarantined.
func (t *PartTracker) Lift(id ID, now time.Time) bool {
	v := t.Verdict(id)
	if v == nil || !t.Tracker.Lift(id, now) {
		return false
	}
	for _, companion := range v.Companions {
		t.Tracker.Lift(companion, now)
	}
	return true
}
