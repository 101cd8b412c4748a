package quarantine

// Kind is the type of a change in what is known about a request.
type Kind int

// The event kinds.
const (
	Suspected Kind = iota // a server crashed while running the request for this gateway
	Reached               // this gateway quarantined the request
	Learnt                // a verdict was received from another gateway or read from the store
	Renewed               // a trial of a quarantined request began
	Lifted                // the quarantine ended
	Dropped               // the entry was evicted because the tracker is full
)

var kindNames = map[Kind]string{Suspected: "suspected", Reached: "reached", Learnt: "learnt", Renewed: "renewed", Lifted: "lifted", Dropped: "dropped"}

// String returns the kind as it appears in logs and metrics.
func (k Kind) String() string { return kindNames[k] }

// Cause is the reason why a quarantine ended.
type Cause string

// The causes.
const (
	Answered   Cause = "answered"    // a server answered the request
	ByOperator Cause = "by_operator" // an operator lifted it
	Forgotten  Cause = "forgotten"   // it expired: no trial within verdictTTL
	Explained  Cause = "explained"   // another request accounts for all of its crashes, and more
	Elsewhere  Cause = "elsewhere"   // another gateway lifted it
)

// Event is a change in what is known about a request.
type Event struct {
	Kind    Kind
	ID      ID
	Crashes []Crash
	Verdict *Verdict
	Cause   Cause // set for Lifted
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
