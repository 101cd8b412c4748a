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
	// prefixReplicas is the number of servers of a pool that cache a prompt prefix.
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
	IdempotencyKey    string // scoped by service and team; empty if there is none
	IdempotencyWindow time.Duration
	Body              []byte
	MaxTokens         int
	Prefix            string // start of the prompt, for prefix-cache affinity
	ContentType       string // of Body
	// Resumable reports whether another server can continue a partial answer.
	Resumable bool
}

// linkUp and linkDown notify a call of a change of its link.
type linkUpEvent struct {
	link        *agentLink
	incarnation string
}
type linkDownEvent struct{ link *agentLink }

// agentAvailable tells a waiting call that an agent may be reachable now.
type agentAvailableEvent struct{}

// eventBufferSize is the capacity of a call's event channel. It has room for the
// chunk window of an attempt and the control messages around it.
const eventBufferSize = 2*relay.WindowChunks + 64

// call runs one request by driving a relay.Machine on the goroutine of Do. It
// implements relay.Effects; those methods run on the same goroutine.
type call struct {
	router  *Router
	req     *Request
	deliver func([]byte) error
	machine *relay.Machine
	events  chan any
	timers  [relay.TimerOfferReply + 1]time.Time

	eventsDropped atomic.Bool // the event channel was full

	link *agentLink
	// incarnation identifies the agent process that the attempt was offered to.
	incarnation         string
	attempt             attemptKey
	offerTime           time.Time
	firstTokenDelivered bool
	tried               map[string]bool // servers that were offered the request
	linkFailed          map[string]bool // servers whose link failed when the offer was sent
	lastFailed          string          // server that failed the request last
	end                 *wire.End
	err                 *fault.Error
	deliveryFailed      bool
}

// enqueue passes an event to the call without blocking. The channel has room for
// all that an agent may send unacknowledged; if it overflows nevertheless, the
// call resynchronizes as after a broken link.
func (c *call) enqueue(e any) {
	select {
	case c.events <- e:
	default:
		c.eventsDropped.Store(true)
		telemetry.Count("merlinpost_router_events_dropped_total")
	}
}

// Do runs a request to completion and passes the chunks of its answer to deliver
// on the calling goroutine. An error from deliver means that the client has
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

// resync makes the machine resume from what it has received after events were
// dropped.
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

// recordFailure marks the current server for later choices: a server that refused
// the request because of load is not tried again, and one that failed it is used
// again only if there is no other.
func (c *call) recordFailure(f *wire.Fault) {
	if f == nil || relay.IsOverload(fault.Code(f.Code)) {
		return
	}
	c.avoidCurrentServer()
}

func (c *call) avoidCurrentServer() {
	if c.link != nil {
		delete(c.tried, c.link.server.Name)
		c.lastFailed = c.link.server.Name
	}
}

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

// Abandon implements relay.Effects. A link that is up while its agent does not
// answer may be stuck for good, so it is replaced by a new one, on which its
// other requests are resumed.
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
