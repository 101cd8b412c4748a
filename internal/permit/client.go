package permit

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/merlinpost/merlinpost/internal/fault"
)

const (
	// answerTimeout bounds the wait for an agent's first word: a round trip of at
	// most 6 ms and an agent with a third of a core. An agent that is away costs a
	// request this once and again.
	answerTimeout = 80 * time.Millisecond
	// askAgain is how often a queued ask is repeated, in case its grant was lost.
	askAgain = 250 * time.Millisecond
	// absentFor is how long an agent that gave no answer is not asked.
	absentFor = 2 * time.Second
)

// Client asks agents on one UDP socket. It is safe for concurrent use.
type Client struct {
	conn *net.UDPConn

	mu      sync.Mutex
	waiting map[string]chan Answer       // by ID
	absent  map[netip.AddrPort]time.Time // until when an agent is not asked
}

// Open opens a client's socket on an IP address and port.
func Open(address string) (*Client, error) {
	conn, err := listen(address)
	if err != nil {
		return nil, err
	}
	return &Client{conn: conn, waiting: map[string]chan Answer{}, absent: map[netip.AddrPort]time.Time{}}, nil
}

func listen(address string) (*net.UDPConn, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fault.New(fault.BadSettings, "%w", err).InField("permits.listen")
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, fault.New(fault.BadSettings, "%w", err).InField("permits.listen")
	}
	return conn, nil
}

// Run receives answers until ctx ends.
func (c *Client) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = c.conn.Close() }) // ends the receiver
	defer stop()
	receive(c.conn, func() bool { return ctx.Err() != nil }, func(d datagram, _ netip.AddrPort) {
		if d.Answer == nil {
			return
		}
		c.mu.Lock()
		ch := c.waiting[d.Answer.ID]
		c.mu.Unlock()
		if ch == nil {
			return
		}
		select {
		case ch <- *d.Answer:
		default: // the asker has not taken the one before; it will ask again
		}
	})
}

// Ask asks the agent at an address and waits while the ask is queued. False means that there is no agent, so that the engine is to be
// asked straight; the answer is then empty.
func (c *Client) Ask(ctx context.Context, agent netip.AddrPort, a Ask) (Answer, bool) {
	if !c.present(agent, time.Now()) {
		return Answer{}, false
	}
	ch := make(chan Answer, 1)
	c.mu.Lock()
	c.waiting[a.ID] = ch
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.waiting, a.ID)
		c.mu.Unlock()
	}()
	send(c.conn, datagram{Ask: &a}, agent)
	silent := 0
	timer := time.NewTimer(answerTimeout)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			c.End(agent, a.ID)
			return Answer{ID: a.ID, Verdict: Refused}, true
		case answer := <-ch:
			if answer.Verdict != Queued {
				return answer, true
			}
			silent = 0
			timer.Reset(askAgain)
		case <-timer.C:
			if silent++; silent > 2 {
				c.miss(agent, time.Now())
				return Answer{}, false
			}
			send(c.conn, datagram{Ask: &a}, agent)
			timer.Reset(answerTimeout)
		}
	}
}

// FirstToken tells the agent that the engine has begun to answer.
func (c *Client) FirstToken(agent netip.AddrPort, id string) {
	send(c.conn, datagram{FirstToken: id}, agent)
}

// End tells the agent that the request has ended.
func (c *Client) End(agent netip.AddrPort, id string) { send(c.conn, datagram{End: id}, agent) }

func (c *Client) present(agent netip.AddrPort, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	until, missed := c.absent[agent]
	if missed && !now.Before(until) {
		delete(c.absent, agent)
		missed = false
	}
	return !missed
}

func (c *Client) miss(agent netip.AddrPort, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.absent[agent] = now.Add(absentFor)
}
