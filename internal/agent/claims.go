package agent

import (
	"context"
	"encoding/json"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/merlinpost/merlinpost/internal/configlog"
	"github.com/merlinpost/merlinpost/internal/execution"
	"github.com/merlinpost/merlinpost/internal/link"
	"github.com/merlinpost/merlinpost/internal/receipt"
	"github.com/merlinpost/merlinpost/internal/rendezvous"
	"github.com/merlinpost/merlinpost/internal/resource"
	"github.com/merlinpost/merlinpost/internal/settings"
	"github.com/merlinpost/merlinpost/internal/telemetry"
	"github.com/merlinpost/merlinpost/internal/wire"
)

// claimTimeout is how long a witness may take before the log is used instead.
const claimTimeout = 300 * time.Millisecond

// claim asks the witness of a key and lets the core decide on its word.
func (a *Agent) claim(ctx context.Context, k execution.Key, o *wire.Offer) {
	select {
	case <-a.lease.Held():
	default: // without a lease on the log nobody could tell a later process of this one
		a.core.settleClaim(ctx, k, o, receipt.WitnessUnreachable, true)
		return
	}
	pool := poolOf(a.config.View(), o.Target)
	names := serverNames(pool)
	ranked := rendezvous.Rank(o.Key, names)
	if len(ranked) == 0 || ranked[0] != a.set.Name { // a router with an older configuration
		a.core.settleClaim(ctx, k, o, receipt.WitnessUnreachable, true)
		return
	}
	moved := a.homeMoved(o)
	if len(ranked) < 2 {
		a.core.settleClaim(ctx, k, o, receipt.NoWitness, moved)
		return
	}
	word := a.witness.ask(ctx, pool.Server(ranked[1]), &wire.Claim{Key: o.Key, Holder: a.set.Name + "/" + a.incarnation,
		Digest: o.Digest, WindowMS: o.KeyWindowMS})
	telemetry.Count("merlinpost_agent_claims_total", "word", word.String())
	a.core.settleClaim(ctx, k, o, word, moved)
}

func poolOf(v *resource.View, service string) *resource.Pool {
	if s := v.Services[service]; s != nil {
		return v.Pools[s.Pool]
	}
	return nil
}

func serverNames(p *resource.Pool) []string {
	if p == nil {
		return nil
	}
	names := make([]string, len(p.Servers))
	for i, s := range p.Servers {
		names[i] = s.Name
	}
	return names
}

// keptClaim is a record of an agent's claims stream.
type keptClaim struct {
	Key      string `json:"key"`
	Digest   uint64 `json:"digest"`
	WindowMS int64  `json:"window_ms"`
}

// keepClaim puts a claim on the log, then lets the call start.
func (a *Agent) keepClaim(ctx context.Context, k execution.Key, o *wire.Offer) {
	decision := receipt.Run
	data, err := json.Marshal(keptClaim{o.Key, o.Digest, o.KeyWindowMS})
	if err == nil {
		_, err = a.log.Append(ctx, configlog.ClaimStream(a.set.Name), data)
	}
	if err != nil {
		decision = receipt.Refuse
	}
	telemetry.Count("merlinpost_agent_claims_on_log_total")
	a.core.post(ctx, func(now time.Time) { a.core.core.ClaimSettled(now, k, decision) })
}

// recoverClaims reads the claims that an earlier process left on the log.
func (a *Agent) recoverClaims(ctx context.Context) {
	select {
	case <-a.lease.Held():
	case <-ctx.Done():
		return
	}
	for ctx.Err() == nil {
		var kept []keptClaim
		_, _, err := configlog.ReadAll(ctx, a.log, configlog.ClaimStream(a.set.Name), func(e configlog.Entry) {
			var c keptClaim
			if json.Unmarshal(e.Data, &c) == nil {
				kept = append(kept, c)
			}
		})
		if err == nil {
			a.core.post(ctx, func(now time.Time) { a.rememberClaims(now, kept) })
			return
		}
		select {
		case <-time.After(leavingPoll):
		case <-ctx.Done():
		}
	}
}

func (a *Agent) rememberClaims(now time.Time, kept []keptClaim) {
	book := a.core.core.Book()
	for _, c := range kept {
		book.Remember(now, c.Key, c.Digest, settings.Millis(int(c.WindowMS)))
	}
	book.SetLogRead()
	if a.lease.Newborn() {
		book.SetNewborn(a.poolsNeverChanged())
	}
}

// poolsNeverChanged reports whether the pools that this server is in are still
// as they were first declared.
func (a *Agent) poolsNeverChanged() bool {
	v := a.config.View()
	for _, name := range v.PoolsOf(a.set.Name) {
		if r, ok := v.Get(resource.Ref{Kind: resource.KindPool, Name: name}); ok && len(r.Versions) > 1 {
			return false
		}
	}
	return true
}

// serverHistory remembers the last change of a pool's servers.
type serverHistory struct {
	mu      sync.Mutex
	current map[string][]string // servers by pool
	before  map[string][]string
	changed map[string]time.Time
}

// watchServers notes changes of the servers of this agent's pools: the homes
// and witnesses of keys move with them.
func (a *Agent) watchServers(ctx context.Context) {
	for ctx.Err() == nil {
		changed := a.config.Changed()
		if a.config.Ready() && a.witness.history.note(a.config.View(), a.set.Name) {
			a.core.post(ctx, func(now time.Time) { a.core.core.Book().ServersChanged(now) })
		}
		select {
		case <-changed:
		case <-time.After(servingPoll):
		case <-ctx.Done():
		}
	}
}

// note takes in the present servers and reports whether any pool's changed.
func (h *serverHistory) note(v *resource.View, self string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	any := false
	for _, pool := range v.PoolsOf(self) {
		names := serverNames(v.Pools[pool])
		slices.Sort(names)
		old, known := h.current[pool]
		if known && !slices.Equal(old, names) {
			h.before[pool], h.changed[pool] = old, time.Now()
			any = true
		}
		h.current[pool] = names
	}
	return any
}

// homeMoved reports whether another agent was the key's home within its window.
func (a *Agent) homeMoved(o *wire.Offer) bool {
	h := &a.witness.history
	h.mu.Lock()
	defer h.mu.Unlock()
	s := a.config.View().Services[o.Target]
	if s == nil {
		return true
	}
	before := h.before[s.Pool]
	return before != nil && time.Since(h.changed[s.Pool]) < settings.Millis(int(o.KeyWindowMS)) &&
		rendezvous.First(o.Key, before) != a.set.Name
}

// witnessLinks keeps links to the agents that witness this one's keys.
type witnessLinks struct {
	agent   *Agent
	history serverHistory
	mu      sync.Mutex
	links   map[string]*witnessLink // by address
}

// witnessLink is one link and the claims that wait for an answer on it.
type witnessLink struct {
	conn    *link.Conn
	mu      sync.Mutex
	seq     uint64
	waiting map[uint64]chan *wire.Claimed
}

func newWitnessLinks(a *Agent) *witnessLinks {
	return &witnessLinks{agent: a, links: map[string]*witnessLink{},
		history: serverHistory{current: map[string][]string{}, before: map[string][]string{}, changed: map[string]time.Time{}}}
}

// ask sends a claim and waits for the witness's word.
func (w *witnessLinks) ask(ctx context.Context, s resource.Server, c *wire.Claim) receipt.Word {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	l := w.get(ctx, s.Agent)
	if l == nil {
		return receipt.WitnessUnreachable
	}
	answer := l.send(c)
	select {
	case m, ok := <-answer:
		if !ok {
			return receipt.WitnessUnreachable
		}
		switch m.State {
		case wire.ClaimGranted:
			return receipt.WitnessGranted
		case wire.ClaimTaken:
			return receipt.WitnessTaken
		}
		return receipt.WitnessCannotVouch
	case <-ctx.Done():
		return receipt.WitnessUnreachable
	}
}

// get returns the open link to an address, dialling if there is none.
func (w *witnessLinks) get(ctx context.Context, address string) *witnessLink {
	w.mu.Lock()
	defer w.mu.Unlock()
	if l := w.links[address]; l != nil {
		select {
		case <-l.conn.Done():
		default:
			return l
		}
	}
	dialer := net.Dialer{Timeout: claimTimeout}
	nc, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil
	}
	conn, err := link.Open(nc, w.agent.hello("agent"), w.agent.linkOptions(w.agent.core.beat))
	if err != nil {
		return nil
	}
	l := &witnessLink{conn: conn, waiting: map[uint64]chan *wire.Claimed{}}
	w.links[address] = l
	go l.run(w.agent.core.ctx)
	return l
}

func (l *witnessLink) run(ctx context.Context) {
	_ = l.conn.Run(ctx, func(m wire.Message) { // its end shows in the claims that fail
		if c, ok := m.(*wire.Claimed); ok {
			l.settle(c)
		}
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	for seq, ch := range l.waiting {
		close(ch)
		delete(l.waiting, seq)
	}
}

func (l *witnessLink) settle(c *wire.Claimed) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ch := l.waiting[c.Seq]; ch != nil {
		ch <- c // has room for its one answer
		delete(l.waiting, c.Seq)
	}
}

func (l *witnessLink) send(c *wire.Claim) <-chan *wire.Claimed {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seq++
	c.Seq = l.seq
	ch := make(chan *wire.Claimed, 1)
	if !l.conn.Send(c) {
		close(ch)
		return ch
	}
	l.waiting[c.Seq] = ch
	return ch
}
