package worker

import "time"

// Behaviour determines how the worker handles a request.
type Behaviour struct {
	// Reject responds with 503 without executing the request.
	Reject bool
	// RetryAfter is the Retry-After header of a rejection, in seconds; empty omits it.
	RetryAfter string
	// Status is the status code of the response; 0 means 200.
	Status int
	// Events is the number of events of a streamed response; 0 means that the
	// response is not streamed.
	Events int
	// AbortAfterEvents is the number of the last event that is sent whole; the
	// connection is closed in the middle of the next one. -1 means never.
	AbortAfterEvents int
	// Hang sends no response until the caller disconnects.
	Hang bool
	// DropConnection closes the connection without a response.
	DropConnection bool
	// Framing is how the end of the response body is determined.
	Framing Framing
	// Cut breaks off the body of a response, or of a stream instead of AbortAfterEvents; nil means never.
	Cut *Cut
	// ForeignResponseFirst sends a response to another request before the correct one.
	ForeignResponseFirst bool
	// OmitSeal omits the X-Response-Seal and X-Server-Load headers.
	OmitSeal bool
	// RejectBeforeBody responds with 413 before it reads the request body.
	RejectBeforeBody bool
	// EventInterval is the time between events.
	EventInterval time.Duration
	// Filler is the size of the response body, or of the data that is added to each event; 0 means none.
	Filler int
	// LateCopy sends a second copy of a rejection or of a plain response when the next request of the connection has
	// arrived.
	LateCopy LateCopy
	// Endless sends bytes without end at some place of the response until the caller disconnects; nil means never.
	Endless *Endless
}

// SetBehaviour sets how the worker handles requests from now on, except those of
// QueueBehaviours and SetPartialBehaviour.
func (w *Worker) SetBehaviour(b Behaviour) {
	w.mu.Lock()
	w.behaviour = b
	w.mu.Unlock()
}

// SetResumedBehaviour sets how the worker handles requests that have a Last-Event-Id from now on.
func (w *Worker) SetResumedBehaviour(b Behaviour) {
	w.mu.Lock()
	w.resumedBehaviour = &b
	w.mu.Unlock()
}

// QueueBehaviours sets how the worker handles the next requests, one behaviour
// per request.
func (w *Worker) QueueBehaviours(b ...Behaviour) {
	w.mu.Lock()
	w.queuedBehaviours = append(w.queuedBehaviours, b...)
	w.mu.Unlock()
}

// SetPartialBehaviour sets how the worker handles n out of every "of" requests from now on.
func (w *Worker) SetPartialBehaviour(n, of int, b Behaviour) {
	w.mu.Lock()
	w.partialBehaviour, w.partialN, w.partialOf = b, n, of
	w.mu.Unlock()
}

// nextBehaviour records the arrival of a request and returns how to handle it.
func (w *Worker) nextBehaviour(id string, resumed bool) Behaviour {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrivals = append(w.arrivals, Arrival{id, time.Now()})
	if resumed && w.resumedBehaviour != nil {
		return *w.resumedBehaviour
	}
	if len(w.queuedBehaviours) > 0 {
		b := w.queuedBehaviours[0]
		w.queuedBehaviours = w.queuedBehaviours[1:]
		return b
	}
	if w.partialN > 0 && len(w.arrivals)%w.partialOf < w.partialN {
		return w.partialBehaviour
	}
	return w.behaviour
}
