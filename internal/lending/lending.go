// Package lending carries grant requests from routers to the home routers of the teams,
// and the responses, with one datagram each way. It uses datagrams instead of links
// because with 390 routers nearly every request is the first of its team at its router:
// each request needs one small exchange, and there is no state worth a connection. A
// lost datagram costs a wait of requestTimeout and the fallback to an equal share.
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
	// requestTimeout limits the wait for the home router on the request path.
	requestTimeout = 100 * time.Millisecond
	// requestQueueSize is the number of received requests that can wait for the Home.
	requestQueueSize = 1024
)

// message is a datagram; exactly one field is set. Ping is the name of a live router.
// Fields are encoded by name; the tags keep the outer names of renamed fields.
type message struct {
	Request  *quota.GrantRequest  `msgpack:"Ask"`
	Response *quota.GrantResponse `msgpack:"Lent"`
	Release  *quota.ReleaseNotice `msgpack:"Closed"`
	Ping     string
}

// Home answers the messages of other routers. Its methods must not block.
type Home interface {
	Acquire(quota.GrantRequest) quota.GrantResponse
	Release(quota.ReleaseNotice)
	MarkReachable(router string)
}

// Transport sends and receives the messages of this router on one UDP socket.
type Transport struct {
	socket *datagram.Socket[message]
	home   Home

	mu               sync.Mutex
	pendingResponses map[uint64]chan quota.GrantResponse
}

// Open listens on an IP address and port. home handles the messages of other routers.
func Open(address string, home Home) (*Transport, error) {
	socket, err := datagram.Open[message](address, "merlinpost_lending")
	if err != nil {
		return nil, err
	}
	return &Transport{socket: socket, home: home, pendingResponses: map[uint64]chan quota.GrantResponse{}}, nil
}

// Address returns the address that the socket is bound to.
func (t *Transport) Address() string { return t.socket.Address().String() }

// pendingRequest is a received request and the address to respond to.
type receivedRequest struct {
	req  quota.GrantRequest
	from netip.AddrPort
}

// Run receives messages until ctx ends: one goroutine reads, another one responds.
func (t *Transport) Run(ctx context.Context) {
	requests := make(chan receivedRequest, requestQueueSize)
	var responding sync.WaitGroup
	responding.Go(func() {
		for pending := range requests {
			resp := t.home.Acquire(pending.req)
			t.socket.Send(message{Response: &resp}, pending.from)
		}
	})
	t.socket.Receive(ctx, func(m message, from netip.AddrPort) { t.handle(m, from, requests) })
	close(requests)
	responding.Wait()
}

func (t *Transport) handle(m message, from netip.AddrPort, requests chan<- receivedRequest) {
	switch {
	case m.Ping != "":
		t.home.MarkReachable(m.Ping)
	case m.Release != nil:
		t.home.Release(*m.Release)
	case m.Response != nil:
		t.deliverResponse(*m.Response)
	case m.Request != nil:
		select {
		case requests <- receivedRequest{*m.Request, from}:
		default:
			telemetry.Count("merlinpost_lending_overrun_total")
		}
	}
}

func (t *Transport) deliverResponse(resp quota.GrantResponse) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if ch := t.pendingResponses[resp.Seq]; ch != nil {
		ch <- resp // does not block: the channel has room for its only response
		delete(t.pendingResponses, resp.Seq)
	}
}

// Ping tells the router at address that the router self can reach it.
func (t *Transport) Ping(address, self string) {
	if to, err := netip.ParseAddrPort(address); err == nil {
		t.socket.Send(message{Ping: self}, to)
	}
}

// Release sends a release notice to the home router at address.
func (t *Transport) Release(address string, n quota.ReleaseNotice) {
	if to, err := netip.ParseAddrPort(address); err == nil {
		t.socket.Send(message{Release: &n}, to)
	}
}

// Acquire sends a grant request to the home router at an address. It returns false if
// no response arrives in time. Each request needs a Seq of its own.
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
