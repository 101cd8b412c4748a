package relay

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"github.com/merlinpost/merlinpost/internal/admission"
	"github.com/merlinpost/merlinpost/internal/execution"
	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/wire"
)

// cluster simulates requests at routers and agents, both with the production
// state machines, connected by links that lose, delay and break, and engines that
// crash. Time advances only between steps.
type cluster struct {
	t        *rapid.T
	now      time.Time
	agents   []*agent
	requests []*request
	nextLink execution.LinkID
	starts   map[string]int // starts of each request over all engines
}

// agent is an execution.Core with a simulated engine.
type agent struct {
	cluster     *cluster
	index       int
	incarnation int
	core        *execution.Core
	links       map[execution.LinkID]*simulatedLink
	runs        []*run
	down        bool
}

// run is one execution of a request at an engine.
type run struct {
	execution.Run
	stopped bool
	tokens  int
}

// conn is a link between a request's router and an agent. It keeps the order of
// messages. After a break, messages in transit to the agent may still arrive.
type simulatedLink struct {
	id          execution.LinkID
	agent       *agent
	incarnation int
	toAgent     []wire.Message
	toRouter    []wire.Message
	broken      bool
	request     *request
}

// request is a Machine with a simulated caller. Each request has links of its
// own, so there is no ordering between two requests, which is the harder case.
type request struct {
	cluster        *cluster
	id             string
	machine        *Machine
	mayRepeat      bool
	answerLength   int
	link           *simulatedLink
	oldLinks       []*simulatedLink
	incarnation    int // of the agent process that the attempt was offered to
	timers         map[Timer]time.Time
	received       []string
	finishCount    int
	err            *fault.Error
	offerTime      time.Time
	pendingCancels []pendingCancel
}

type pendingCancel struct {
	agent   *agent
	attempt uint32
	at      time.Time
}

func token(id string, i int) string { return fmt.Sprintf("%s.%d ", id, i) }

func (a *agent) restart() {
	a.incarnation++
	a.core = execution.New(execution.Config{
		Admission: admission.Config{Slots: 2, QueueLimit: 3, MaxPreemptions: 2, FloorWindow: time.Second, Preemption: true,
			Floors: true, Fairness: true, EarlyRefusal: true},
		MaxAttempts: 20, OrphanTimeout: 3 * time.Second, TombstoneRetention: 20 * time.Second, MaxTombstones: 30,
	}, a.cluster.now, a, func(string) bool { return true })
	a.links = map[execution.LinkID]*simulatedLink{}
	a.runs = nil
}

func (a *agent) Send(link execution.LinkID, m wire.Message) bool {
	c := a.links[link]
	if c == nil || c.broken {
		return c != nil
	}
	if len(c.toRouter) > 6 { // the send buffer is full: only chunks may be refused
		if _, data := m.(*wire.Chunk); data {
			return false
		}
	}
	c.toRouter = append(c.toRouter, m)
	return true
}

func (a *agent) StartRun(r execution.Run) {
	a.runs = append(a.runs, &run{Run: r, tokens: int(r.GeneratedTokens)})
	req := a.cluster.requestByID(r.Key.RequestID)
	if req.finishCount > 0 && req.err != nil && req.err.Outcome == fault.NotRun {
		a.cluster.t.Fatalf("%s was reported as not run and then started", r.Key.RequestID)
	}
	a.cluster.starts[r.Key.RequestID]++
	if !req.mayRepeat && a.cluster.starts[r.Key.RequestID] > 1 {
		a.cluster.t.Fatalf("%s must not be repeated but was started twice", r.Key.RequestID)
	}
}

func (a *agent) StopRun(k execution.AttemptKey, number int) {
	for _, r := range a.runs {
		if r.Key == k && r.Number == number {
			r.stopped = true
		}
	}
}

func (a *agent) AddLinkRequests(execution.LinkID, int) {}

func (a *agent) ClaimKey(execution.AttemptKey, *wire.Offer) {}

func (cl *cluster) requestByID(id string) *request {
	for _, r := range cl.requests {
		if r.id == id {
			return r
		}
	}
	return nil
}

// draw draws an element of list by its index, which keeps the log of a failing
// run readable.
func draw[T any](cl *cluster, list []T, label string) T {
	return list[rapid.IntRange(0, len(list)-1).Draw(cl.t, label)]
}

// connect opens a new link between the request and an agent.
func (r *request) connect(a *agent) {
	r.cluster.nextLink++
	r.link = &simulatedLink{id: r.cluster.nextLink, agent: a, incarnation: a.incarnation, request: r}
	a.links[r.link.id] = r.link
	a.core.LinkUp(r.cluster.now, r.link.id, r.id)
}

// Offer implements Effects.
func (r *request) Offer(attempt uint32, done uint32, doneText string) *fault.Error {
	a := draw(r.cluster, r.cluster.agents, "agent")
	if a.down {
		code := draw(r.cluster, []fault.Code{fault.NoBackendServer, fault.BackendServersUnreachable, fault.LinkBusy}, "code")
		return fault.New(code, "no agent reachable").WithOutcome(fault.NotRun)
	}
	if r.link != nil {
		r.oldLinks = append(r.oldLinks, r.link)
	}
	r.connect(a)
	r.incarnation, r.offerTime = a.incarnation, r.cluster.now
	r.link.toAgent = append(r.link.toAgent, &wire.Offer{ID: r.id, Attempt: attempt, Team: "t", Tier: uint8(len(r.id) % 3),
		StartTimeoutMS: 4000, RunTimeoutMS: 20000, Retryable: r.mayRepeat, Preemptible: r.mayRepeat, MaxTokens: r.answerLength,
		ChunksDelivered: done, DeliveredText: doneText, SendWindow: 4})
	return nil
}

// Send implements Effects.
func (r *request) Send(m wire.Message) {
	age := r.cluster.now.Sub(r.offerTime).Milliseconds()
	switch m := m.(type) {
	case *wire.Cancel:
		m.AgeMS = age
	case *wire.Resume:
		m.AgeMS = age
	}
	if r.link != nil && !r.link.broken {
		r.link.toAgent = append(r.link.toAgent, m)
	}
}

// Abandon implements Effects.
func (r *request) Abandon(attempt uint32) {
	r.pendingCancels = append(r.pendingCancels, pendingCancel{r.link.agent, attempt, r.offerTime})
}

// Deliver implements Effects.
func (r *request) Deliver(data []byte) {
	if want := token(r.id, len(r.received)); string(data) != want {
		r.cluster.t.Fatalf("%s got %q as chunk %d", r.id, data, len(r.received))
	}
	r.received = append(r.received, string(data))
}

// Finish implements Effects.
func (r *request) Finish(_ *wire.End, e *fault.Error) {
	r.finishCount++
	r.err = e
	switch {
	case r.finishCount > 1:
		r.cluster.t.Fatalf("%s was finished twice", r.id)
	case e == nil && len(r.received) != r.answerLength:
		r.cluster.t.Fatalf("%s ended with %d chunks of %d", r.id, len(r.received), r.answerLength)
	case e != nil && e.Outcome == fault.NotRun && r.cluster.starts[r.id] > 0:
		r.cluster.t.Fatalf("%s was reported as not run (%v) but was started", r.id, e)
	case e != nil && e.Outcome == "":
		r.cluster.t.Fatalf("%s was finished without an outcome: %v", r.id, e)
	}
}

// SetTimer implements Effects.
func (r *request) SetTimer(t Timer, d time.Duration) {
	delete(r.timers, t)
	if d > 0 {
		r.timers[t] = r.cluster.now.Add(d)
	}
}

// TakeRetry implements Effects.
func (r *request) TakeRetry() bool { return true }

func (r *request) handleMessage(m wire.Message) {
	switch m := m.(type) {
	case *wire.OfferResponse:
		r.machine.HandleOfferResponse(m)
	case *wire.Chunk:
		r.machine.HandleChunk(m)
	case *wire.End:
		r.machine.HandleEnd(m)
	case *wire.Cancelled:
		r.machine.HandleCancelled(m)
	}
}

func (a *agent) handleMessage(c *simulatedLink, m wire.Message) {
	switch m := m.(type) {
	case *wire.Offer:
		a.core.Offer(a.cluster.now, c.id, m)
	case *wire.Ack:
		a.core.Ack(a.cluster.now, c.id, m)
	case *wire.Cancel:
		a.core.Cancel(a.cluster.now, c.id, m)
	case *wire.Resume:
		a.core.Resume(a.cluster.now, c.id, m)
	}
}

// conns returns every link that may still deliver messages, in a fixed order.
func (cl *cluster) allLinks() []*simulatedLink {
	var out []*simulatedLink
	for _, r := range cl.requests {
		out = append(out, r.oldLinks...)
		if r.link != nil {
			out = append(out, r.link)
		}
	}
	return out
}

// deliverNext delivers the next message in each direction of a link.
func (cl *cluster) deliverNext(c *simulatedLink) {
	if len(c.toAgent) > 0 {
		m := c.toAgent[0]
		c.toAgent = c.toAgent[1:]
		if c.agent.incarnation == c.incarnation && !c.agent.down {
			c.agent.handleMessage(c, m)
		}
	}
	if len(c.toRouter) > 0 {
		m := c.toRouter[0]
		c.toRouter = c.toRouter[1:]
		c.request.handleMessage(m)
	}
}

// breakLink breaks a link. The agent notices it now or never.
func (cl *cluster) breakLink(c *simulatedLink, agentNotices bool) {
	if c.broken {
		return
	}
	c.broken = true
	switch rapid.IntRange(0, 2).Draw(cl.t, "messages to the router after the break") {
	case 0:
		c.toRouter = nil // all lost
	case 1:
		c.toRouter = c.toRouter[:len(c.toRouter)/2] // half of them lost, the others delivered late
	}
	if agentNotices && c.incarnation == c.agent.incarnation {
		c.agent.core.LinkDown(cl.now, c.id)
	}
	if c.request.link == c {
		c.request.machine.HandleLinkDown()
	}
}

// reconnect replaces the broken link of a request if its agent is up.
func (cl *cluster) reconnect(r *request) {
	if r.link == nil || !r.link.broken || r.link.agent.down {
		return
	}
	old := r.link
	if rapid.Bool().Draw(cl.t, "old link still delivers") {
		r.oldLinks = append(r.oldLinks, old)
	}
	r.connect(old.agent)
	r.machine.HandleLinkUp(old.agent.incarnation == r.incarnation)
}

// stepEngines makes every engine produce one token for each of its runs.
func (cl *cluster) stepEngines() {
	for _, a := range cl.agents {
		if a.down {
			continue
		}
		for _, x := range append([]*run(nil), a.runs...) {
			if x.stopped {
				continue
			}
			req := cl.requestByID(x.Key.RequestID)
			if x.tokens < req.answerLength {
				a.core.Output(cl.now, x.Key, x.Number, []byte(token(x.Key.RequestID, x.tokens)), 1)
				x.tokens++
			}
			if x.tokens >= req.answerLength && !x.stopped {
				x.stopped = true
				a.core.RunEnded(cl.now, x.Key, x.Number, wire.End{}, nil)
			}
		}
	}
}

// crashEngine fails every run of an agent's engine.
func (a *agent) crashEngine() {
	for _, x := range append([]*run(nil), a.runs...) {
		if !x.stopped {
			x.stopped = true
			a.core.RunEnded(a.cluster.now, x.Key, x.Number, wire.End{}, fault.New(fault.EngineFailed, "crash").WithOutcome(fault.Unknown))
		}
	}
}

func (cl *cluster) advance(d time.Duration) {
	cl.now = cl.now.Add(d)
	for _, a := range cl.agents {
		if !a.down {
			a.core.Tick(cl.now)
			a.core.Sweep(cl.now)
		}
	}
	for _, r := range cl.requests {
		for t := TimerAgentLost; t <= TimerOfferReply; t++ {
			if due, ok := r.timers[t]; ok && !due.After(cl.now) {
				delete(r.timers, t)
				r.machine.HandleTimeout(t)
			}
		}
	}
}

func (cl *cluster) addRequest(repeat bool) {
	r := &request{cluster: cl, id: fmt.Sprintf("r%d", len(cl.requests)), mayRepeat: repeat, timers: map[Timer]time.Time{},
		answerLength: rapid.IntRange(0, 12).Draw(cl.t, "length")}
	r.machine = New(r.id, Config{MaxAttempts: 4, MayRepeat: repeat, Resumable: repeat, RunTimeout: 15 * time.Second,
		LostTimeout: time.Second, CancelTimeout: 500 * time.Millisecond, OfferReplyTimeout: time.Second}, r)
	cl.requests = append(cl.requests, r)
	r.machine.Start()
}
