// Package lending sends grant requests from routers to the home routers of the teams, and the
// responses back, in one datagram each. It uses datagrams instead of connections because with
// 390 routers nearly every request is the first of its team at its router: each request needs
// one small exchange, and there is no state that a connection would preserve. If a datagram is
// lost, the router waits for requestTimeout and then uses its equal share of the team's limits.
package lending

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/merlinpost/merlinpost/internal/datagram"
	"github.com/merlinpost/merlinpost/internal/quota"
	"github.com/merlinpost/merlinpost/internal/telemetry"
)

const (
	// requestTimeout limits the wait for the home router's response, during which a caller's request is delayed.
	requestTimeout = 100 * time.Millisecond
	// homeQueueSize is the capacity of the queue of received grant requests and release notices. Further requests
	// are dropped.
	homeQueueSize = 1024
)

// message is the content of a datagram. Exactly one field is set. Fields are encoded by name;
// the tags keep the encoded names of renamed fields.
type message struct {
	Request  *quota.GrantRequest  `msgpack:"Ask"`
	Response *quota.GrantResponse `msgpack:"Lent"`
	Release  *quota.ReleaseNotice `msgpack:"Closed"`
	Ping     string               // name of the sender, which can reach the receiver
}

// Home handles the messages of other routers to this one as the home of teams. Its methods
// must not block.
type Home interface {
	Acquire(quota.GrantRequest) quota.GrantResponse
	Release(quota.ReleaseNotice)
	MarkReachable(router string)
}

// Transport exchanges messages with other routers on one UDP socket. It is safe for
// concurrent use.
type Transport struct {
	socket *datagram.Socket[message]
	home   Home

	mu               sync.Mutex
	pendingResponses map[uint64]chan quota.GrantResponse // by Seq of the request
}

// Open listens on an IP address and port. Home handles the messages of other routers.
func Open(address string, home Home) (*Transport, error) {
	socket, err := datagram.Open[message](address, "merlinpost_lending")
	if err != nil {
		return nil, err
	}
	return &Transport{socket: socket, home: home, pendingResponses: map[uint64]chan quota.GrantResponse{}}, nil
}

// Address returns the address that the socket is bound to.
func (t *Transport) Address() string { return t.socket.Address().String() }

// receivedMessage is a message with the address of its sender.
type receivedMessage struct {
	message
	from netip.AddrPort
}

// Run receives messages until ctx is done. The calling goroutine reads from the socket; another
// one processes the grant requests and the release notices, in the order in which they arrived: a
// notice that overtook its request would leave the grant in place.
func (t *Transport) Run(ctx context.Context) {
	toHome := make(chan receivedMessage, homeQueueSize)
	var processing sync.WaitGroup
	processing.Go(func() {
		for m := range toHome {
			t.process(m)
		}
	})
	t.socket.Receive(ctx, func(m message, from netip.AddrPort) { t.handle(receivedMessage{m, from}, toHome) })
	close(toHome)
	processing.Wait()
}

func (t *Transport) handle(m receivedMessage, toHome chan<- receivedMessage) {
	switch {
	case m.Ping != "":
		t.home.MarkReachable(m.Ping)
	case m.Response != nil:
		t.deliverResponse(*m.Response)
	default:
		select {
		case toHome <- m:
		default:
			telemetry.Count("merlinpost_lending_overrun_total")
			if m.Release != nil {
				t.home.Release(*m.Release)
			}
		}
	}
}

// process processes a grant request or a release notice.
func (t *Transport) process(m receivedMessage) {
	switch {
	case m.Release != nil:
		t.home.Release(*m.Release)
	case m.Request != nil:
		resp := t.home.Acquire(*m.Request)
		t.socket.Send(message{Response: &resp}, m.from)
	}
}

// deliverResponse passes a response to the Acquire call that waits for it.
func (t *Transport) deliverResponse(resp quota.GrantResponse) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if ch := t.pendingResponses[resp.Seq]; ch != nil {
		ch <- resp // does not block: the channel is buffered and receives only this response
		delete(t.pendingResponses, resp.Seq)
	}
}

// Ping notifies the router at the address that the router named self can reach it.
func (t *Transport) Ping(address, self string) {
	if to, err := netip.ParseAddrPort(address); err == nil {
		t.socket.Send(message{Ping: self}, to)
	}
}

// Release sends a release notice to the home router at the address.
func (t *Transport) Release(address string, n quota.ReleaseNotice) {
	if to, err := netip.ParseAddrPort(address); err == nil {
		t.socket.Send(message{Release: &n}, to)
	}
}

// Acquire sends a grant request to the home router at the address home and waits for the response.
// It returns false if none arrives within requestTimeout. Each request needs a unique Seq.
func (t *Transport) Acquire(ctx context.Context, home string, req quota.GrantRequest) (quota.GrantResponse, bool) {
	to, err := netip.ParseAddrPort(home)
	if err != nil {
		return quota.GrantResponse{}, false
	}
	ch := make(chan quota.GrantResponse, 1)
	t.mu.Lock()
	t.pendingResponses[req.Seq] = ch
	t.mu.Unlock()
	t.socket.Send(message{Request: &req}, to)
	timer := time.NewTimer(requestTimeout)
	defer timer.Stop()
	select {
	case resp := <-ch:
		return resp, true
	case <-timer.C:
	case <-ctx.Done():
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.pendingResponses, req.Seq)
	return quota.GrantResponse{}, false
}
