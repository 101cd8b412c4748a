package notice

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/merlinpost/merlinpost/internal/slowstart"
)

// recoveryTTL is how long after a backoff a server that has received no request since still counts as recovering.
const recoveryTTL = time.Minute

// recoveries tracks the servers that have not responded to a request that was sent after their backoff. Such a server
// receives requests by slow start, as it may have set a rate limit during the backoff or may refuse requests again.
// It is safe for concurrent use.
type recoveries struct {
	count atomic.Int32 // len(servers), usually 0, for a check without the lock

	mu      sync.Mutex
	servers map[string]*recovery
}

// recovery is the state of one server.
type recovery struct {
	backoffUntil time.Time
	ramp         slowstart.Ramp
	// changed is closed when a waiting request should check again whether it may be sent. It is nil while none waits.
	changed chan struct{}
}

func newRecoveries() recoveries { return recoveries{servers: map[string]*recovery{}} }

func (r *recoveries) empty() bool { return r.count.Load() == 0 }

// begin records that a server backs off.
func (r *recoveries) begin(server string, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old := r.servers[server]; old != nil {
		old.wake()
	}
	r.servers[server] = &recovery{backoffUntil: until}
	r.count.Store(int32(len(r.servers)))
}

// recordResponse records that a server has responded to a request that was sent at the given time.
func (r *recoveries) recordResponse(server string, sent time.Time) {
	if r.empty() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.servers[server]; s != nil && !sent.Before(s.backoffUntil) {
		r.remove(server)
	}
}

// remove ends the recovery of a server. The caller holds mu.
func (r *recoveries) remove(server string) {
	r.servers[server].wake()
	delete(r.servers, server)
	r.count.Store(int32(len(r.servers)))
}

// sweep removes servers whose backoff ended more than recoveryTTL ago.
func (r *recoveries) sweep(now time.Time) {
	if r.empty() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for server, s := range r.servers {
		if now.Sub(s.backoffUntil) > recoveryTTL {
			r.remove(server)
		}
	}
}

func (r *recovery) wake() {
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

// Recovering reports whether a server has not responded to this gateway since the end of a backoff.
func (r *Registry) Recovering(server string, now time.Time) bool {
	if r.recoveries.empty() {
		return false
	}
	r.recoveries.mu.Lock()
	defer r.recoveries.mu.Unlock()
	s := r.recoveries.servers[server]
	return s != nil && !now.Before(s.backoffUntil)
}

// SendWait is how long to wait before a request may be sent to a recovering server: for Max, or until Changed is
// closed if that is earlier.
type SendWait struct {
	Max     time.Duration
	Changed <-chan struct{}
}

// BeginSend reports whether a request may be sent to a server now. If not, it returns how long to wait before asking
// again, or nil if the server is backing off. If the server does not respond to the request, EndSend must be called.
func (r *Registry) BeginSend(server string, now time.Time) (bool, *SendWait) {
	if r.recoveries.empty() {
		return true, nil
	}
	r.recoveries.mu.Lock()
	defer r.recoveries.mu.Unlock()
	s := r.recoveries.servers[server]
	if s == nil {
		return true, nil
	}
	if now.Before(s.backoffUntil) {
		return false, nil
	}
	if wait := s.ramp.Wait(now); wait > 0 {
		if s.changed == nil {
			s.changed = make(chan struct{})
		}
		return false, &SendWait{wait, s.changed}
	}
	s.ramp.Add(now)
	return true, nil
}

// EndSend records that a request for which BeginSend returned true was not sent, or that the server did not respond
// to it. Another request may then be sent immediately, unless sentAt is before the end of the backoff.
func (r *Registry) EndSend(server string, sentAt time.Time) {
	if r.recoveries.empty() {
		return
	}
	r.recoveries.mu.Lock()
	defer r.recoveries.mu.Unlock()
	if s := r.recoveries.servers[server]; s != nil {
		s.ramp.End(sentAt)
		s.wake()
	}
}
