package quarantine

// Kind is the type of a change in what is known about a request.
type EventKind int

// The event kinds.
const (
	EventSuspected       EventKind = iota // a server crashed while running the request for this gateway
	EventQuarantined                      // this gateway quarantined the request
	EventVerdictReceived                  // a verdict was received from another gateway or read from the store
	EventTrialStarted                     // a trial of a quarantined request began
	EventLifted                           // the quarantine ended
	EventEvicted                          // the entry was evicted because the tracker is full
)

var eventKindNames = map[EventKind]string{EventSuspected: "suspected", EventQuarantined: "reached", EventVerdictReceived: "learnt", EventTrialStarted: "renewed", EventLifted: "lifted", EventEvicted: "dropped"}

// String returns the kind as it appears in logs and metrics.
func (k EventKind) String() string { return eventKindNames[k] }

// Cause is the reason why a quarantine ended.
type LiftCause string

// The causes.
const (
	CauseAnswered     LiftCause = "answered"    // a server answered the request
	CauseOperator     LiftCause = "by_operator" // an operator lifted it
	CauseExpired      LiftCause = "forgotten"   // it expired: no trial within verdictTTL
	CauseExplained    LiftCause = "explained"   // another request accounts for all of its crashes, and more
	CauseOtherGateway LiftCause = "elsewhere"   // another gateway lifted it
)

// Event is a change in what is known about a request.
type Event struct {
	Kind    EventKind
	ID      ID
	Crashes []Crash
	Verdict *Verdict
	Cause   LiftCause // set for Lifted
}

// maxEvents bounds the queue of undelivered events. Further events are discarded.
const maxEvents = 1024

func (t *Tracker) emit(e Event) {
	if len(t.events) < maxEvents {
		t.events = append(t.events, e)
	}
	signal(t.eventsReady)
}

// EventsReady is signalled when DrainEvents has events to return. The channel holds one signal.
func (t *Tracker) EventsReady() <-chan struct{} { return t.eventsReady }

// UpdatesReady is signalled when DueUpdates has updates to send at once. The channel holds one signal.
func (t *Tracker) UpdatesReady() <-chan struct{} { return t.updatesReady }

// DrainEvents returns the events since the previous call.
func (t *Tracker) DrainEvents() []Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.events
	t.events = nil
	return out
}
