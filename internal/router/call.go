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

// Timing of a call.
const (
	// cancelWait is how long a caller waits for the agent's word on whether a
	// cancelled request had started.
	cancelWait = 500 * time.Millisecond
	// answerWait is how long an agent may take for a verdict.
	answerWait = time.Second
	// prefixServers is how many servers of a pool keep a prompt prefix.
	prefixServers = 2
)

// Request is one caller's request, checked and classified.
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
	IdempotencyKey    string // scoped idempotency key, or empty
	IdempotencyWindow time.Duration
	Body              []byte
	MaxTokens         int
	Prefix            string // start of the prompt, for the choice
	// ContentType is the type of Body.
	ContentType string
	// Resumable says that another server can go on with the answer.
	Resumable bool
}

// linkUp and linkDown tell a call about its link.
type linkUp struct {
	link        *agentLink
	incarnation string
}
type linkDown struct{ link *agentLink }

// placeAgain tells a parked call that an agent may be reached now.
type placeAgain struct{}

// eventRing is how many messages wait for a call's goroutine: the window of an
// attempt and the few messages around it.
const eventRing = 2*relay.WindowChunks + 64

// call runs one request: the goroutine of its caller drives a relay.Machine.
// It implements relay.Effects; those methods run on that goroutine.
type call struct {
	router  *Router
	req     *Request
	deliver func([]byte) error
	machine *relay.Machine
	events  chan any
	timers  [relay.TimerOfferReply + 1]time.Time

	missed atomic.Bool // an event found no room

	link *agentLink
	// incarnation is the agent's process that the attempt was offered to.
	incarnation string
	attempt     attemptID
	offered     time.Time
	gotFirst    bool
	tried       map[string]bool // servers that had the request
	skip        map[string]bool // servers whose link failed at the offer
	avoid       string          // the server that lost the request last
	end         *wire.End
	err         *fault.Error
	deadSink    bool
}

// post hands an event to the call without blocking. The ring has room for all
// that an agent may send ahead; should it not, the call starts over from what
// it has, as after a broken link.
func (c *call) post(e any) {
	select {
	case c.events <- e:
	default:
		c.missed.Store(true)
		telemetry.Count("merlinpost_router_events_dropped_total")
	}
}

// Do runs a request to its end and gives the pieces of its answer to deliver,
// on the caller's goroutine. An error of deliver means that the caller went
// away. The fault, if any, has an outcome.
func (r *Router) Do(ctx context.Context, req *Request, deliver func([]byte) error) (*wire.End, *fault.Error) {
	if n := r.open.Add(1); n > int64(r.set.Callers.MaxRequests) {
		r.open.Add(-1)
		return nil, fault.New(fault.QueueFull, "this router has %d requests in progress", n-1).
			WithOutcome(fault.NotRun).WithRetryAfter(time.Second)
	}
	defer r.open.Add(-1)
	r.mu.Lock()
	r.budget.Request(time.Now())
	r.mu.Unlock()
	c := &call{router: r, req: req, deliver: deliver, events: make(chan any, eventRing), tried: map[string]bool{}, skip: map[string]bool{}}
	lost := r.set.Link.LostMS
	if req.MayRepeat {
		lost = r.set.Link.LostRepeatableMS
	}
	c.machine = relay.New(req.ID, relay.Config{MaxAttempts: r.set.Policy.MaxAttempts, MayRepeat: req.MayRepeat,
		Resumable: req.Resumable, RunTimeout: settings.Millis(req.Class.MaxRunMS), LostTimeout: settings.Millis(lost),
		CancelTimeout: cancelWait, OfferReplyTimeout: answerWait}, c)
	c.run(ctx)
	return c.end, c.err
}

func (c *call) run(ctx context.Context) {
	defer c.leave()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	c.machine.Start()
	for !c.machine.Finished() {
		timer.Reset(c.untilTimer())
		select {
		case e := <-c.events:
			c.handle(e)
		case <-timer.C:
			c.fireTimers()
		case <-ctx.Done():
			c.machine.HandleCallerGone()
		}
		if c.deadSink {
			c.machine.HandleCallerGone()
		}
		if len(c.events) == 0 && c.missed.Swap(false) {
			c.startOver()
		}
	}
}

// startOver brings the machine back in step after events were missed.
func (c *call) startOver() {
	if c.link == nil {
		return
	}
	c.machine.HandleLinkDown()
	if incarnation, up := c.link.state(); up {
		c.machine.HandleLinkUp(incarnation == c.incarnation)
	}
}

func (c *call) leave() {
	c.router.links.unpark(c)
	if c.link != nil {
		c.link.unregister(c.attempt)
	}
	if n := c.machine.Retries(); n > 0 {
		telemetry.Add("merlinpost_router_retries_total", n, "class", c.req.ClassName)
	}
}

func (c *call) handle(e any) {
	switch e := e.(type) {
	case *wire.OfferResponse:
		c.noteFailure(e.Fault)
		c.machine.HandleVerdict(e)
	case *wire.Chunk:
		c.machine.HandleChunk(e)
	case *wire.End:
		c.noteFailure(e.Fault)
		c.machine.HandleEnd(e)
	case *wire.Cancelled:
		c.machine.HandleCancelled(e)
	case linkUp:
		if e.link == c.link {
			c.machine.HandleLinkUp(e.incarnation == c.incarnation)
		}
	case placeAgain:
		c.machine.HandleAgentAvailable()
	case linkDown:
		if e.link == c.link {
			c.machine.HandleLinkDown()
		}
	}
}

// noteFailure remembers what to make of a server that failed the request: one
// that refused it for load is not asked again, one that lost it is avoided as
// long as there is another.
func (c *call) noteFailure(f *wire.Fault) {
	if f == nil || relay.IsOverload(fault.Code(f.Code)) {
		return
	}
	c.avoidPresent()
}

func (c *call) avoidPresent() {
	if c.link != nil {
		delete(c.tried, c.link.server.Name)
		c.avoid = c.link.server.Name
	}
}

// untilTimer returns the time to the next timer.
func (c *call) untilTimer() time.Duration {
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

// Arm implements relay.Effects.
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
	age := time.Since(c.offered).Milliseconds()
	switch m := m.(type) {
	case *wire.Cancel:
		m.AgeMS = age
	case *wire.Resume:
		m.AgeMS = age
	}
	c.link.send(m)
}

// Abandon implements relay.Effects. A link that is up although its agent gives
// no answer may have gone silent for good: a new one takes its place, and the
// requests on it go on there.
func (c *call) Abandon(attempt uint32) {
	if c.link != nil {
		c.link.abandon(attemptID{c.req.ID, attempt})
		c.link.replace(c.incarnation)
		c.avoidPresent()
	}
}

// Deliver implements relay.Effects.
func (c *call) Deliver(data []byte) {
	if !c.gotFirst {
		c.gotFirst = true
		c.link.firstToken(time.Since(c.offered))
	}
	if !c.deadSink && c.deliver(data) != nil {
		c.deadSink = true
	}
}

// Finish implements relay.Effects.
func (c *call) Finish(end *wire.End, e *fault.Error) { c.end, c.err = end, e }

// Retry implements relay.Effects.
func (c *call) TakeRetry() bool {
	c.router.mu.Lock()
	defer c.router.mu.Unlock()
	return c.router.budget.Take(time.Now()).Granted
}
