package quarantine

// EventKind is the type of an Event.
type EventKind int

// The event kinds.
const (
	EventSuspected       EventKind = iota // a server crashed while running the request for this gateway
	EventQuarantined                      // this gateway quarantined the request
	EventVerdictReceived                  // a verdict was received from another gateway or read from the store
	EventTrialStarted                     // this gateway started a trial of a quarantined request
	EventLifted                           // the quarantine ended
	EventEvicted                          // the entry was evicted because the tracker was full
	EventNarrowed                         // a companion was removed from the verdict on a prompt part
)

var eventKindNames = map[EventKind]string{EventSuspected: "suspected", EventQuarantined: "reached", EventVerdictReceived: "learnt", EventTrialStarted: "renewed", EventLifted: "lifted", EventEvicted: "dropped", EventNarrowed: "narrowed"}

// String returns the kind as it appears in logs and metrics.
func (k EventKind) String() string { return eventKindNames[k] }

// LiftCause is the reason why a quarantine ended, as it appears in logs.
type LiftCause string

// The causes of EventLifted.
const (
	CauseAnswered     LiftCause = "answered"    // a server responded to the request
	CauseOperator     LiftCause = "by_operator" // an operator lifted the quarantine
	CauseExpired      LiftCause = "forgotten"   // no trial started within verdictTTL
	CauseExplained    LiftCause = "explained"   // another quarantined request ran on all of its crashed servers and more
	CauseOtherGateway LiftCause = "elsewhere"   // another gateway lifted the quarantine
)

// Event is a change in the state of a tracked request or prompt part.
type Event struct {
	Kind    EventKind
	ID      ID
	Part    *PartName // nil for a request
	Crashes []Crash
	Verdict *Verdict
	Cause   LiftCause // set for EventLifted
}

// maxEvents limits the queue of undelivered events. Further events are discarded.
const maxEvents = 1024

func (t *Tracker) emit(e Event) {
	if len(t.events) < maxEvents {
		t.events = append(t.events, e)
	}
	signal(t.eventsReady)
}

// EventsReady returns a channel that is signalled when DrainEvents has events to return.
func (t *Tracker) EventsReady() <-chan struct{} { return t.eventsReady }

// UpdatesReady returns a channel that is signalled when DueUpdates has updates to send immediately.
func (t *Tracker) UpdatesReady() <-chan struct{} { return t.updatesReady }

// DrainEvents returns the events since the previous call.
func (t *Tracker) DrainEvents() []Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.events
	t.events = nil
	return out
}
