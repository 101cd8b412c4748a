// Package follow keeps a gateway's configuration and its list of backend servers up to date
// with the store in which they are written. It decides when the store is read, by which gateway,
// what another gateway hands on instead, and what a failure of the store means; what its records
// say is decoded for it.
package follow

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/merlinpost/merlinpost/internal/decisionlog"
)

const (
	// readTimeout bounds a call beyond its wait. The store answers in a few ms;
	// where its answers take some hundred times as long they still get through,
	// and a silent connection is replaced soon enough for the bounds of seconds.
	readTimeout = 700 * time.Millisecond
	// retryPause is the pause after a failed call of the gateway that reads first;
	// the next ones in the order wait that much longer each, up to retryMost.
	retryPause, retryMost = 200 * time.Millisecond, time.Second
	// returnGrace is how long entries are kept that were removed while the store
	// was away: servers that live are back within about two seconds.
	returnGrace = 2300 * time.Millisecond
	// stagger is by how much each gateway in the order reads later than the one
	// before it when nothing has been heard; laterMost bounds the sum.
	stagger, laterMost = 60 * time.Millisecond, 300 * time.Millisecond
	// handOnTime is by how much small hosts read later still, so that a large one can read
	// and hand on what differs first: 0.24 s for an answer of a store that is 60 times as
	// slow as usual, 0.1 s for 0.9 MB at 200 Mbit/s, 0.13 s to hand it on.
	handOnTime = 500 * time.Millisecond
	// lapseEvery is how often removals that are held back are looked at.
	lapseEvery = 200 * time.Millisecond
	// listReadKB is how much one read of the list returns at most, 0.2 s of the slowest links,
	// which carry 10 Mbit/s.
	listReadKB = 256
	// newestReadKB is the same where only the newest record counts: one record, or some small
	// ones. A storm of versions of 300 KB would take 0.24 s each on such a link.
	newestReadKB = 16
	// leastPause bounds how often one gateway reads a topic, in a storm of changes.
	leastPause = 150 * time.Millisecond
)

// connection is the store at the address in force.
type connection struct{ Store }

// Follower keeps a gateway's configuration and list of backend servers up to
// date with the store.
type Follower struct {
	Dependencies
	store    atomic.Pointer[connection]
	settings atomic.Pointer[Settings]
	// lostStore is set while the list can't be read.
	lostStore atomic.Bool
	behind    lag
	// configBytes is the size of the newest configuration.
	configBytes int
	// answered tells that the store answers again.
	answered signal
	// rejected bounds the lines about entries that can't be read, by field.
	rejected decisionlog.Limiter
	// entries are digests of the list's entries by server; the sum of them is the
	// state of the list.
	entries map[string]uint64
}

// New returns a follower; Run is its duty.
func New(parts Dependencies, s Settings) *Follower {
	f := &Follower{Dependencies: parts, behind: lag{logger: parts.Logger}, entries: map[string]uint64{}}
	f.Peers.SetVersioned(f.Topics.Configuration)
	f.SetSettings(s)
	return f
}

// SetSettings puts new settings in force; a new address of the store is used
// from the next call on.
func (f *Follower) SetSettings(s Settings) {
	old := f.settings.Swap(&s)
	if old == nil || old.Address != s.Address {
		f.store.Store(&connection{f.Connect(s.Address)})
	}
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	go f.follow(ctx, f.configTopic)
	go f.followGateways(ctx)
	f.follow(ctx, f.serversTopic)
}

// follow keeps up with a topic.
func (f *Follower) follow(ctx context.Context, timing func() topic) {
	r := reading{}
	for ctx.Err() == nil {
		t := timing()
		first := f.Peers.Rank(t.name) == 0
		if r.loaded && !r.down && !r.behind {
			f.awaitDue(ctx, t, first, &r)
		}
		if !t.fromPeer(ctx, &r) {
			f.read(ctx, t, first, &r)
		}
	}
}

// awaitDue waits until the topic is to be read.
func (f *Follower) awaitDue(ctx context.Context, t topic, first bool, r *reading) {
	sleep(ctx, leastPause)
	for ctx.Err() == nil {
		confirmed, changed := f.Peers.LastConfirmed(t.name)
		age := t.pause
		if !first {
			age = t.bound.MaxAge(t.slowestRead) + f.later(t)
		}
		t.confirm(confirmed, f.graceFrom(t.name, r))
		t.watch(r.failed)
		left := age - time.Since(confirmed)
		if left <= 0 {
			return
		}
		timer := time.NewTimer(min(left, lapseEvery))
		select {
		case <-ctx.Done():
		case <-changed:
			timer.Stop()
			return
		case <-timer.C:
		}
		timer.Stop()
	}
}

// later returns by how much this gateway reads later than the first of those that lost
// patience.
func (f *Follower) later(t topic) time.Duration {
	later := min(time.Duration(f.Peers.Rank(t.name))*stagger, laterMost)
	if small, _ := f.Peers.SmallHosts(); small && t.handedOn {
		later += handOnTime
	}
	return later
}

// awaitRetry waits before a failed call is repeated. It ends at once when a call for
// another topic is answered, as the store is back, or when another gateway has news. A gateway that serves nobody for want of
// the store asks as often as the one that reads for all.
func (f *Follower) awaitRetry(ctx context.Context, t topic) {
	pause := retryPause
	if f.Gateway.Ready() {
		pause = min(retryPause*time.Duration(1+f.Peers.Rank(t.name)), retryMost)
	}
	_, changed := f.Peers.LastConfirmed(t.name)
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-changed:
	case <-f.answered.next():
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
