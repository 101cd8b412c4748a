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

// world is routers' requests and agents, both the real machines, joined by
// links that lose, delay and break, with engines that crash. Time moves only
// by steps.
type world struct {
	t        *rapid.T
	now      time.Time
	agents   []*agent
	requests []*request
	nextLink execution.LinkID
	starts   map[string]int // of each request, at all engines
}

// agent is a real Core with its engine.
type agent struct {
	w     *world
	index int
	life  int
	core  *execution.Core
	links map[execution.LinkID]*conn
	runs  []*run
	down  bool
}

// run is one start at an engine.
type run struct {
	execution.Run
	stopped bool
	made    int
}

// conn is one link between a request's router and an agent. Messages on it
// keep their order; after a break those under way to the agent may still come.
type conn struct {
	id       execution.LinkID
	a        *agent
	life     int
	toAgent  []wire.Message
	toRouter []wire.Message
	broken   bool
	req      *request
}

// request is a real Machine with its caller. Each has its own links, which is
// the harder case: nothing is ordered between two requests.
type request struct {
	w         *world
	id        string
	m         *Machine
	repeat    bool
	length    int
	conn      *conn
	old       []*conn
	life      int // of the agent that the attempt was offered to
	timers    map[Timer]time.Time
	got       []string
	finished  int
	err       *fault.Error
	offerTime time.Time
	abandoned []abandoned
}

type abandoned struct {
	a       *agent
	attempt uint32
	at      time.Time
}

func token(id string, i int) string { return fmt.Sprintf("%s.%d ", id, i) }

func (a *agent) restart() {
	a.life++
	a.core = execution.New(execution.Config{
		Admission: admission.Config{Slots: 2, QueueLimit: 3, MaxPreemptions: 2, FloorWindow: time.Second, Preemption: true,
			Floors: true, Fairness: true, EarlyRefusal: true},
		MaxAttempts: 20, OrphanTimeout: 3 * time.Second, TombstoneRetention: 20 * time.Second, MaxTombstones: 30,
	}, a.w.now, a, func(string) bool { return true })
	a.links = map[execution.LinkID]*conn{}
	a.runs = nil
}

func (a *agent) Send(link execution.LinkID, m wire.Message) bool {
	c := a.links[link]
	if c == nil || c.broken {
		return c != nil
	}
	if len(c.toRouter) > 6 { // the ring is full: only data may be put off
		if _, data := m.(*wire.Chunk); data {
			return false
		}
	}
	c.toRouter = append(c.toRouter, m)
	return true
}

func (a *agent) Start(r execution.Run) {
	a.runs = append(a.runs, &run{Run: r, made: int(r.GeneratedTokens)})
	req := a.w.byID(r.Key.RequestID)
	if req.finished > 0 && req.err != nil && req.err.Outcome == fault.NotRun {
		a.w.t.Fatalf("%s was told not run and then started", r.Key.RequestID)
	}
	a.w.starts[r.Key.RequestID]++
	if !req.repeat && a.w.starts[r.Key.RequestID] > 1 {
		a.w.t.Fatalf("%s may not be repeated and ran twice", r.Key.RequestID)
	}
}

func (a *agent) Stop(k execution.AttemptKey, number int) {
	for _, r := range a.runs {
		if r.Key == k && r.Number == number {
			r.stopped = true
		}
	}
}

func (a *agent) Use(execution.LinkID, int) {}

func (a *agent) Claim(execution.AttemptKey, *wire.Offer) {}

func (w *world) byID(id string) *request {
	for _, r := range w.requests {
		if r.id == id {
			return r
		}
	}
	return nil
}

// pick draws one of list; its index keeps a failing draw readable.
func pick[T any](w *world, list []T, label string) T {
	return list[rapid.IntRange(0, len(list)-1).Draw(w.t, label)]
}

// open gives the request a new link to the agent.
func (r *request) open(a *agent) {
	r.w.nextLink++
	r.conn = &conn{id: r.w.nextLink, a: a, life: a.life, req: r}
	a.links[r.conn.id] = r.conn
	a.core.LinkUp(r.w.now, r.conn.id, r.id)
}

// Offer implements Effects.
func (r *request) Offer(attempt uint32, done uint32, doneText string) *fault.Error {
	a := pick(r.w, r.w.agents, "agent")
	if a.down {
		code := pick(r.w, []fault.Code{fault.NoBackendServer, fault.BackendServersUnreachable, fault.LinkBusy}, "code")
		return fault.New(code, "no agent is reached").WithOutcome(fault.NotRun)
	}
	if r.conn != nil {
		r.old = append(r.old, r.conn)
	}
	r.open(a)
	r.life, r.offerTime = a.life, r.w.now
	r.conn.toAgent = append(r.conn.toAgent, &wire.Offer{ID: r.id, Attempt: attempt, Team: "t", Tier: uint8(len(r.id) % 3),
		StartTimeoutMS: 4000, RunTimeoutMS: 20000, Retryable: r.repeat, Preemptible: r.repeat, MaxTokens: r.length,
		ChunksDelivered: done, DeliveredText: doneText, SendWindow: 4})
	return nil
}

// Send implements Effects.
func (r *request) Send(m wire.Message) {
	age := r.w.now.Sub(r.offerTime).Milliseconds()
	switch m := m.(type) {
	case *wire.Cancel:
		m.AgeMS = age
	case *wire.Resume:
		m.AgeMS = age
	}
	if r.conn != nil && !r.conn.broken {
		r.conn.toAgent = append(r.conn.toAgent, m)
	}
}

// Abandon implements Effects.
func (r *request) Abandon(attempt uint32) {
	r.abandoned = append(r.abandoned, abandoned{r.conn.a, attempt, r.offerTime})
}

// Deliver implements Effects.
func (r *request) Deliver(data []byte) {
	if want := token(r.id, len(r.got)); string(data) != want {
		r.w.t.Fatalf("%s got %q as chunk %d", r.id, data, len(r.got))
	}
	r.got = append(r.got, string(data))
}

// Finish implements Effects.
func (r *request) Finish(_ *wire.End, e *fault.Error) {
	r.finished++
	r.err = e
	switch {
	case r.finished > 1:
		r.w.t.Fatalf("%s got two final words", r.id)
	case e == nil && len(r.got) != r.length:
		r.w.t.Fatalf("%s ended with %d chunks of %d", r.id, len(r.got), r.length)
	case e != nil && e.Outcome == fault.NotRun && r.w.starts[r.id] > 0:
		r.w.t.Fatalf("%s was told not run (%v), but it was started", r.id, e)
	case e != nil && e.Outcome == "":
		r.w.t.Fatalf("%s got no outcome: %v", r.id, e)
	}
}

// Arm implements Effects.
func (r *request) SetTimer(t Timer, d time.Duration) {
	delete(r.timers, t)
	if d > 0 {
		r.timers[t] = r.w.now.Add(d)
	}
}

// Retry implements Effects.
func (r *request) TakeRetry() bool { return true }

func (r *request) receive(m wire.Message) {
	switch m := m.(type) {
	case *wire.OfferResponse:
		r.m.HandleVerdict(m)
	case *wire.Chunk:
		r.m.HandleChunk(m)
	case *wire.End:
		r.m.HandleEnd(m)
	case *wire.Cancelled:
		r.m.HandleCancelled(m)
	}
}

func (a *agent) receive(c *conn, m wire.Message) {
	switch m := m.(type) {
	case *wire.Offer:
		a.core.Offer(a.w.now, c.id, m)
	case *wire.Ack:
		a.core.Ack(a.w.now, c.id, m)
	case *wire.Cancel:
		a.core.Cancel(a.w.now, c.id, m)
	case *wire.Resume:
		a.core.Resume(a.w.now, c.id, m)
	}
}

// conns lists every link that may still bring something, in a fixed order.
func (w *world) conns() []*conn {
	var out []*conn
	for _, r := range w.requests {
		out = append(out, r.old...)
		if r.conn != nil {
			out = append(out, r.conn)
		}
	}
	return out
}

// move brings one message over a link.
func (w *world) move(c *conn) {
	if len(c.toAgent) > 0 {
		m := c.toAgent[0]
		c.toAgent = c.toAgent[1:]
		if c.a.life == c.life && !c.a.down {
			c.a.receive(c, m)
		}
	}
	if len(c.toRouter) > 0 {
		m := c.toRouter[0]
		c.toRouter = c.toRouter[1:]
		c.req.receive(m)
	}
}

// breakLink cuts a link; the agent learns of it now or never.
func (w *world) breakLink(c *conn, agentSees bool) {
	if c.broken {
		return
	}
	c.broken = true
	switch rapid.IntRange(0, 2).Draw(w.t, "what of the messages to the router") {
	case 0:
		c.toRouter = nil // lost
	case 1:
		c.toRouter = c.toRouter[:len(c.toRouter)/2] // the rest comes late
	}
	if agentSees && c.life == c.a.life {
		c.a.core.LinkDown(w.now, c.id)
	}
	if c.req.conn == c {
		c.req.m.HandleLinkDown()
	}
}

// heal replaces a request's broken link if its agent is up.
func (w *world) heal(r *request) {
	if r.conn == nil || !r.conn.broken || r.conn.a.down {
		return
	}
	old := r.conn
	if rapid.Bool().Draw(w.t, "the old link brings more") {
		r.old = append(r.old, old)
	}
	r.open(old.a)
	r.m.HandleLinkUp(old.a.life == r.life)
}

// step is one step of every engine.
func (w *world) engines() {
	for _, a := range w.agents {
		if a.down {
			continue
		}
		for _, x := range append([]*run(nil), a.runs...) {
			if x.stopped {
				continue
			}
			req := w.byID(x.Key.RequestID)
			if x.made < req.length {
				a.core.Output(w.now, x.Key, x.Number, []byte(token(x.Key.RequestID, x.made)), 1)
				x.made++
			}
			if x.made >= req.length && !x.stopped {
				x.stopped = true
				a.core.RunEnded(w.now, x.Key, x.Number, wire.End{}, nil)
			}
		}
	}
}

// engineCrash ends every run of an agent's engine.
func (a *agent) engineCrash() {
	for _, x := range append([]*run(nil), a.runs...) {
		if !x.stopped {
			x.stopped = true
			a.core.RunEnded(a.w.now, x.Key, x.Number, wire.End{}, fault.New(fault.EngineFailed, "crash").WithOutcome(fault.Unknown))
		}
	}
}

func (w *world) pass(d time.Duration) {
	w.now = w.now.Add(d)
	for _, a := range w.agents {
		if !a.down {
			a.core.Tick(w.now)
			a.core.Sweep(w.now)
		}
	}
	for _, r := range w.requests {
		for t := TimerAgentLost; t <= TimerOfferReply; t++ {
			if due, ok := r.timers[t]; ok && !due.After(w.now) {
				delete(r.timers, t)
				r.m.HandleTimeout(t)
			}
		}
	}
}

func (w *world) add(repeat bool) {
	r := &request{w: w, id: fmt.Sprintf("r%d", len(w.requests)), repeat: repeat, timers: map[Timer]time.Time{},
		length: rapid.IntRange(0, 12).Draw(w.t, "length")}
	r.m = New(r.id, Config{MaxAttempts: 4, MayRepeat: repeat, Resumable: repeat, RunTimeout: 15 * time.Second,
		LostTimeout: time.Second, CancelTimeout: 500 * time.Millisecond, OfferReplyTimeout: time.Second}, r)
	w.requests = append(w.requests, r)
	r.m.Start()
}
