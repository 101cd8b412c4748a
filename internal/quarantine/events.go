package quarantine

// Kind is what has happened to a request's standing.
type Kind int

// The kinds.
const (
	Suspected Kind = iota // a server has ended while it ran the request for this gateway
	Reached               // a verdict
	Learnt                // a verdict of another gateway
	Renewed               // a verdict of which a trial has begun
	Lifted                // a verdict has ended
	Dropped               // for want of room
)

var kindNames = map[Kind]string{Suspected: "suspected", Reached: "reached", Learnt: "learnt", Renewed: "renewed", Lifted: "lifted", Dropped: "dropped"}

// String names the kind in logs and metrics.
func (k Kind) String() string { return kindNames[k] }

// Cause is why a verdict has ended.
type Cause string

// The causes.
const (
	Answered   Cause = "answered"    // a server has answered the request
	ByOperator Cause = "by_operator" // an operator has lifted it
	Forgotten  Cause = "forgotten"   // nobody has asked for a day
	Explained  Cause = "explained"   // another request has ended all of its servers and more
	Elsewhere  Cause = "elsewhere"   // another gateway has lifted it
)

// Event is a change of a request's standing.
type Event struct {
	Kind    Kind
	ID      ID
	Crashes []Crash
	Verdict *Verdict
	Cause   Cause // of Lifted
}

// maxEvents bounds the events that wait to be taken: a few for each request that is kept.
const maxEvents = 1024

func (l *Tracker) note(e Event) {
	if len(l.events) < maxEvents {
		l.events = append(l.events, e)
	}
	wake(l.news)
}

// News has room for one word that there are events to take.
func (l *Tracker) EventsReady() <-chan struct{} { return l.news }

// Telling has room for one word that something is to be told to the other gateways at once.
func (l *Tracker) UpdatesReady() <-chan struct{} { return l.telling }

// Events takes the events since the last call.
func (l *Tracker) DrainEvents() []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.events
	l.events = nil
	return out
}
