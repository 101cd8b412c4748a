package router

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/relay"
	"github.com/merlinpost/merlinpost/internal/resource"
	"github.com/merlinpost/merlinpost/internal/settings"
	"github.com/merlinpost/merlinpost/internal/telemetry"
	"github.com/merlinpost/merlinpost/internal/wire"
)

const (
	// cancelTimeout bounds the wait for the agent to confirm whether a
	// cancelled request had started.
	cancelTimeout = 500 * time.Millisecond
	// offerReplyTimeout bounds the wait for an agent to accept or refuse an offer.
	offerReplyTimeout = time.Second
	// prefixCacheReplicas is the number of servers of a pool to which requests with
	// the same prompt prefix are preferably sent.
	prefixCacheReplicas = 2
)

// Request is a validated request with its class and target.
type Request struct {
	ID                string
	Kind              wire.Kind
	Endpoint          string
	Team              string
	ClassName         string
	Class             *resource.Class
	Pool              string
	Target            string // "model@version" or service name
	MayRepeat         bool
	IdempotencyKey    string // scoped by service and team; may be empty
	IdempotencyWindow time.Duration
	Body              []byte
	MaxTokens         int
	Prefix            string // start of the prompt, for prefix-cache affinity
	ContentType       string // of Body
	Resumable         bool   // another server can continue a partial answer
}

// linkUpEvent and linkDownEvent report that an agent link was established or lost.
type linkUpEvent struct {
	link        *agentLink
	incarnation string
}
type linkDownEvent struct{ link *agentLink }

// agentAvailableEvent reports to a call without a reachable agent that one may be
// reachable now.
type agentAvailableEvent struct{}

// eventBufferSize is the capacity of a call's event channel, in events. It exceeds
// the flow-control window of an attempt and leaves room for control messages.
const eventBufferSize = 2*relay.WindowChunks + 64

// call drives the relay.Machine of one request and implements its relay.Effects.
// Everything but enqueue runs on the goroutine that called Router.Do.
type call struct {
	router  *Router
	req     *Request
	deliver func([]byte) error
	machine *relay.Machine
	events  chan any
	timers  [relay.TimerOfferReply + 1]time.Time // expiry times by relay.Timer; zero if stopped

	eventsDropped atomic.Bool // the event channel overflowed

	link *agentLink
	// incarnation identifies the agent process that the attempt was offered to.
	incarnation         string
	attempt             attemptKey
	offerTime           time.Time
	firstTokenDelivered bool
	tried               map[string]bool // servers offered the request, except those that failed it for another reason than overload
	linkFailed          map[string]bool // servers whose link failed when the offer was sent
	lastFailed          string          // server that failed the request last
	end                 *wire.End
	err                 *fault.Error
	deliveryFailed      bool
}

// enqueue adds an event to the call's event channel without blocking. The channel
// has room for everything that an agent may send without acknowledgement. If it
// overflows nevertheless, the event is dropped, and the call resynchronizes as it
// does after a lost link.
func (c *call) enqueue(e any) {
	select {
	case c.events <- e:
	default:
		c.eventsDropped.Store(true)
		telemetry.Count("merlinpost_router_events_dropped_total")
	}
}

// Do runs a request to completion and passes the chunks of its answer to deliver
// on the calling goroutine. deliver returns an error if the caller has
// disconnected. A returned fault always has an outcome.
func (r *Router) Do(ctx context.Context, req *Request, deliver func([]byte) error) (*wire.End, *fault.Error) {
	if n := r.inProgress.Add(1); n > int64(r.settings.Callers.MaxRequests) {
		r.inProgress.Add(-1)
		return nil, fault.New(fault.QueueFull, "router is at its limit of requests in progress: %d", n-1).
			WithOutcome(fault.NotRun).WithRetryAfter(time.Second)
	}
	defer r.inProgress.Add(-1)
	r.mu.Lock()
	r.budget.RecordRequest(time.Now())
	r.mu.Unlock()
	c := &call{router: r, req: req, deliver: deliver, events: make(chan any, eventBufferSize), tried: map[string]bool{}, linkFailed: map[string]bool{}}
	lostTimeoutMS := r.settings.Link.LostMS
	if req.MayRepeat {
		lostTimeoutMS = r.settings.Link.LostRepeatableMS
	}
	c.machine = relay.New(req.ID, relay.Config{MaxAttempts: r.settings.Policy.MaxAttempts, MayRepeat: req.MayRepeat,
		Resumable: req.Resumable, RunTimeout: settings.Millis(req.Class.MaxRunMS), LostTimeout: settings.Millis(lostTimeoutMS),
		CancelTimeout: cancelTimeout, OfferReplyTimeout: offerReplyTimeout}, c)
	c.run(ctx)
	return c.end, c.err
}

// run starts the machine and passes events to it until the request has finished.
func (c *call) run(ctx context.Context) {
	defer c.cleanUp()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	c.machine.Start()
	for !c.machine.Finished() {
		timer.Reset(c.timeToNextTimer())
		select {
		case e := <-c.events:
			c.handleEvent(e)
		case <-timer.C:
			c.fireTimers()
		case <-ctx.Done():
			c.machine.HandleCallerDisconnected()
		}
		if c.deliveryFailed {
			c.machine.HandleCallerDisconnected()
		}
		if len(c.events) == 0 && c.eventsDropped.Swap(false) {
			c.resync()
		}
	}
}

// resync makes the machine resume the answer after dropped events. To the machine
// it looks like a link that was lost and, if it is up, established again.
func (c *call) resync() {
	if c.link == nil {
		return
	}
	c.machine.HandleLinkDown()
	if incarnation, up := c.link.connectionState(); up {
		c.machine.HandleLinkUp(incarnation == c.incarnation)
	}
}

func (c *call) cleanUp() {
	c.router.links.removeWaiter(c)
	if c.link != nil {
		c.link.unregister(c.attempt)
	}
	if n := c.machine.Retries(); n > 0 {
		telemetry.Add("merlinpost_router_retries_total", n, "class", c.req.ClassName)
	}
}

func (c *call) handleEvent(e any) {
	switch e := e.(type) {
	case *wire.OfferResponse:
		c.recordFailure(e.Fault)
		c.machine.HandleOfferResponse(e)
	case *wire.Chunk:
		c.machine.HandleChunk(e)
	case *wire.End:
		c.recordFailure(e.Fault)
		c.machine.HandleEnd(e)
	case *wire.Cancelled:
		c.machine.HandleCancelled(e)
	case linkUpEvent:
		if e.link == c.link {
			c.machine.HandleLinkUp(e.incarnation == c.incarnation)
		}
	case agentAvailableEvent:
		c.machine.HandleAgentAvailable()
	case linkDownEvent:
		if e.link == c.link {
			c.machine.HandleLinkDown()
		}
	}
}

// recordFailure updates which servers later offers may select. A server that
// refused the request because of overload is not selected again; one that failed
// it for another reason is selected again only if no other server is left.
func (c *call) recordFailure(f *wire.Fault) {
	if f == nil || relay.IsOverload(fault.Code(f.Code)) {
		return
	}
	c.avoidCurrentServer()
}

// avoidCurrentServer makes later offers select the current server only if no other
// server is left.
func (c *call) avoidCurrentServer() {
	if c.link != nil {
		delete(c.tried, c.link.server.Name)
		c.lastFailed = c.link.server.Name
	}
}

// timeToNextTimer returns the time until the next timer expires, at most an hour.
func (c *call) timeToNextTimer() time.Duration {
	next := time.Hour
	for _, due := range c.timers {
		if !due.IsZero() {
			next = min(next, time.Until(due))
		}
	}
	return max(0, next)
}

func (c *call) fireTimers() {
	now := time.Now()
	for t := range c.timers {
		if due := c.timers[t]; !due.IsZero() && !due.After(now) {
			c.timers[t] = time.Time{}
			c.machine.HandleTimeout(relay.Timer(t))
		}
	}
}

// SetTimer implements relay.Effects.
func (c *call) SetTimer(t relay.Timer, d time.Duration) {
	c.timers[t] = time.Time{}
	if d > 0 {
		c.timers[t] = time.Now().Add(d)
	}
}

// Send implements relay.Effects.
func (c *call) Send(m wire.Message) {
	if c.link == nil {
		return
	}
	age := time.Since(c.offerTime).Milliseconds()
	switch m := m.(type) {
	case *wire.Cancel:
		m.AgeMS = age
	case *wire.Resume:
		m.AgeMS = age
	}
	c.link.send(m)
}

// Abandon implements relay.Effects. If the agent does not answer although the link
// is up, the connection may never recover. It is therefore closed, and the other
// requests on it are resumed over a new one.
func (c *call) Abandon(attempt uint32) {
	if c.link != nil {
		c.link.cancelAttempt(attemptKey{c.req.ID, attempt})
		c.link.closeConnectionTo(c.incarnation)
		c.avoidCurrentServer()
	}
}

// Deliver implements relay.Effects.
func (c *call) Deliver(data []byte) {
	if !c.firstTokenDelivered {
		c.firstTokenDelivered = true
		c.link.recordFirstToken(time.Since(c.offerTime))
	}
	if !c.deliveryFailed && c.deliver(data) != nil {
		c.deliveryFailed = true
	}
}

// Finish implements relay.Effects.
func (c *call) Finish(end *wire.End, e *fault.Error) { c.end, c.err = end, e }

// TakeRetry implements relay.Effects.
func (c *call) TakeRetry() bool {
	c.router.mu.Lock()
	defer c.router.mu.Unlock()
	return c.router.budget.Take(time.Now()).Granted
}
