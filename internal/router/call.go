package router

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/merlinpost/merlinpost/internal/dispatch"
	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/relay"
	"github.com/merlinpost/merlinpost/internal/rendezvous"
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
	ID        string
	Kind      wire.Kind
	Endpoint  string
	Team      string
	ClassName string
	Class     *resource.Class
	Pool      string
	Target    string // "model@version" or service name
	MayRepeat bool
	Key       string // scoped idempotency key, or empty
	KeyWindow time.Duration
	Body      []byte
	MaxTokens int
	Prefix    string // start of the prompt, for the choice
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
const eventRing = 2*relay.Window + 64

// call runs one request: the goroutine of its caller drives a relay.Machine.
// It implements relay.Effects; those methods run on that goroutine.
type call struct {
	router  *Router
	req     *Request
	deliver func([]byte) error
	machine *relay.Machine
	events  chan any
	timers  [relay.TimerAnswer + 1]time.Time

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
			With(fault.NotRun).After(time.Second)
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
		Resumable: req.Resumable, RunWithin: settings.Millis(req.Class.MaxRunMS), Lost: settings.Millis(lost),
		Cancel: cancelWait, Answer: answerWait}, c)
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
			c.machine.CallerGone()
		}
		if c.deadSink {
			c.machine.CallerGone()
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
	c.machine.LinkDown()
	if incarnation, up := c.link.state(); up {
		c.machine.LinkUp(incarnation == c.incarnation)
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
	case *wire.Verdict:
		c.noteFailure(e.Fault)
		c.machine.Verdict(e)
	case *wire.Chunk:
		c.machine.Chunk(e)
	case *wire.End:
		c.noteFailure(e.Fault)
		c.machine.End(e)
	case *wire.Cancelled:
		c.machine.Cancelled(e)
	case linkUp:
		if e.link == c.link {
			c.machine.LinkUp(e.incarnation == c.incarnation)
		}
	case placeAgain:
		c.machine.Place()
	case linkDown:
		if e.link == c.link {
			c.machine.LinkDown()
		}
	}
}

// noteFailure remembers what to make of a server that failed the request: one
// that refused it for load is not asked again, one that lost it is avoided as
// long as there is another.
func (c *call) noteFailure(f *wire.Fault) {
	if f == nil || relay.Busy(fault.Code(f.Code)) {
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
			c.machine.Timeout(relay.Timer(t))
		}
	}
}

// Arm implements relay.Effects.
func (c *call) Arm(t relay.Timer, d time.Duration) {
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
func (c *call) Retry() bool {
	c.router.mu.Lock()
	defer c.router.mu.Unlock()
	return c.router.budget.Take(time.Now())
}

// Offer implements relay.Effects.
func (c *call) Offer(attempt uint32, done uint32, doneText string) *fault.Error {
	if c.link != nil {
		c.link.unregister(c.attempt)
	}
	l, e := c.chooseOrPark()
	if e != nil {
		return e
	}
	c.link, c.attempt, c.offered = l, attemptID{c.req.ID, attempt}, time.Now()
	class := c.req.Class
	incarnation, e := l.register(c, &wire.Offer{ID: c.req.ID, Attempt: attempt, Kind: c.req.Kind, Endpoint: c.req.Endpoint,
		Team: c.req.Team, Class: c.req.ClassName, Tier: uint8(class.Tier), Floor: class.Floor, Target: c.req.Target,
		FirstTokenMS: int64(class.FirstTokenMS), StartWithinMS: int64(class.MaxWaitMS), RunWithinMS: int64(class.MaxRunMS),
		MayRepeat: c.req.MayRepeat, Preemptible: class.Preemptible, Key: c.req.Key, Digest: xxhash.Sum64(c.req.Body),
		KeyWindowMS: c.req.KeyWindow.Milliseconds(), Body: c.req.Body, MaxTokens: c.req.MaxTokens,
		Done: done, DoneText: doneText, Window: relay.Window, ContentType: c.req.ContentType})
	c.incarnation = incarnation
	if e != nil {
		c.skip[l.server.Name] = true
		return e
	}
	c.tried[l.server.Name] = true
	return nil
}

// chooseOrPark chooses a link, or notes that the call waits for one. The second
// look finds a link that came up just before the note.
func (c *call) chooseOrPark() (*agentLink, *fault.Error) {
	l, e := c.choose()
	if e == nil || e.Code != fault.NoLink {
		return l, e
	}
	c.router.links.park(c)
	clear(c.skip)
	if l, e = c.choose(); e == nil {
		c.router.links.unpark(c)
	}
	return l, e
}

// choose returns the link to offer on.
func (c *call) choose() (*agentLink, *fault.Error) {
	if c.req.Key != "" {
		return c.home()
	}
	links := c.router.links.pool(c.req.Pool)
	candidates := make([]dispatch.Candidate, len(links))
	names := make([]string, len(links))
	for i, l := range links {
		candidates[i] = l.candidate(c)
		names[i] = l.server.Name
	}
	if c.req.Prefix != "" && len(names) > 0 {
		c.markPrefix(candidates, names)
	}
	if i, ok := c.pick(candidates); ok {
		return links[i], nil
	}
	for i := range candidates { // no other is left than the one to be avoided
		if candidates[i].Name == c.avoid {
			candidates[i].Tried = c.tried[c.avoid] || c.skip[c.avoid]
		}
	}
	if i, ok := c.pick(candidates); ok {
		return links[i], nil
	}
	return nil, c.noneFault(candidates)
}

func (c *call) pick(candidates []dispatch.Candidate) (int, bool) {
	c.router.mu.Lock()
	defer c.router.mu.Unlock()
	return c.router.picker.Pick(dispatch.Request{FailureDomain: c.router.set.FailureDomain}, candidates, c.router.rnd)
}

// noneFault says why no candidate can take the request: some can't be reached
// now, or none is left.
func (c *call) noneFault(candidates []dispatch.Candidate) *fault.Error {
	for i := range candidates {
		if !c.tried[candidates[i].Name] && !candidates[i].Leaving {
			return fault.New(fault.NoLink, "no backend server for %q can be reached", c.req.Target).
				With(fault.NotRun).After(time.Second)
		}
	}
	return fault.New(fault.NoServer, "no backend server for %q is left", c.req.Target).With(fault.NotRun).After(time.Second)
}

// home returns the link to the home agent of the request's idempotency key.
// Only the home may run it, so it is not asked again after a refusal.
func (c *call) home() (*agentLink, *fault.Error) {
	pool := c.router.Config.View().Pools[c.req.Pool]
	if pool == nil {
		return nil, fault.New(fault.NoServer, "there is no pool %q", c.req.Pool).With(fault.NotRun)
	}
	names := make([]string, len(pool.Servers))
	for i, s := range pool.Servers {
		names[i] = s.Name
	}
	l := c.router.links.server(pool.Server(rendezvous.First(c.req.Key, names)))
	if _, up := l.state(); !up {
		return nil, fault.New(fault.NoLink, "the server that keeps this key can't be reached").With(fault.NotRun).After(time.Second)
	}
	if c.tried[l.server.Name] {
		return nil, fault.New(fault.NoServer, "the server that keeps this key did not take the call").With(fault.NotRun).After(time.Second)
	}
	return l, nil
}

// markPrefix marks the servers that keep the prompt's prefix: the first by
// rendezvous of the prefix, so that all routers agree without talking.
func (c *call) markPrefix(candidates []dispatch.Candidate, names []string) {
	ranked := rendezvous.Rank(c.req.Prefix, names)
	for _, holder := range ranked[:min(prefixServers, len(ranked))] {
		for i := range candidates {
			if candidates[i].Name == holder {
				candidates[i].PrefixShare = 1
			}
		}
	}
}

func (l *agentLink) candidate(c *call) dispatch.Candidate {
	leaving := l.router.members.Leaving(l.server.Name)
	l.mu.Lock()
	defer l.mu.Unlock()
	// Lower tiers do not stand in the way of a higher one: what waits is
	// passed, what runs gives way.
	upTo := c.req.Class.Tier + 1
	return dispatch.Candidate{Name: l.server.Name, FailureDomain: l.server.FailureDomain, Up: l.conn != nil,
		Leaving: leaving || l.load.Draining, Serves: l.serving[c.req.Target], Queued: sum(firstN(l.load.Queued, upTo)), Running: sum(firstN(l.load.Running, upTo)),
		Slots: l.load.Slots, Sent: l.sent, ServiceMS: float64(l.load.ServiceMS), FirstMS: l.firstMS,
		Tried: c.tried[l.server.Name] || c.skip[l.server.Name] || c.avoid == l.server.Name}
}

func firstN(counts []int, n int) []int { return counts[:min(n, len(counts))] }
