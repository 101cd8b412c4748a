// Package follow keeps a gateway's configuration and list of backend servers in sync with the
// metadata store. It decides when and by which gateway the store is read, what is fetched from a
// peer instead, and how an outage of the store is handled. Records are decoded by a Decoder.
package follow

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/merlinpost/merlinpost/internal/decisionlog"
)

const (
	// readTimeout limits how long a call may receive no data, in addition to its long-poll wait.
	// The store usually answers within a few ms; replies that take about a hundred times as long
	// are still accepted, and a dead connection is replaced early enough for bounds of a few
	// seconds.
	readTimeout = 700 * time.Millisecond
	// retryDelay is the delay before the primary reader retries a failed call. Each following
	// gateway in the order waits one more retryDelay, up to maxRetryDelay.
	retryDelay, maxRetryDelay = 200 * time.Millisecond, time.Second
	// recoveryGrace is how long entries that were removed during an outage of the store are kept
	// after it. Live servers register again within about two seconds.
	recoveryGrace = 2300 * time.Millisecond
	// readStagger is the extra delay of each gateway in the order, relative to the one before it,
	// when no confirmation arrived; maxReadStagger limits the sum.
	readStagger, maxReadStagger = 60 * time.Millisecond, 300 * time.Millisecond
	// smallHostDelay is the additional read delay of small hosts, so that a large host can read
	// first and distribute the difference: 0.24 s for a reply of a store that is 60 times slower
	// than usual, 0.1 s for 0.9 MB at 200 Mbit/s, and 0.13 s for the distribution.
	smallHostDelay = 500 * time.Millisecond
	// graceCheckInterval is how often deferred removals are checked.
	deferredRemovalCheckInterval = 200 * time.Millisecond
	// serversReadMaxKB limits one read of the server list to 0.2 s on the slowest links, which
	// carry 10 Mbit/s.
	maxServersReadKB = 256
	// configReadMaxKB limits one read of a topic where only the newest record counts, to a single
	// record or a few small ones. In a burst of versions of 300 KB, each superseded one would take
	// 0.24 s on such a link.
	maxConfigReadKB = 16
	// minReadInterval is the minimum time between two reads of a topic by one gateway, for bursts
	// of changes.
	minReadInterval = 150 * time.Millisecond
)

// connection is a client of the store at the current address.
type storeClient struct{ Store }

// Follower keeps a gateway's configuration and list of backend servers in sync with the store.
type Follower struct {
	Dependencies
	store    atomic.Pointer[storeClient]
	settings atomic.Pointer[Settings]
	// storeUnavailable is set while the server list can't be read.
	storeUnavailable atomic.Bool
	configLag        lagMonitor
	// configBytes is the encoded size of the newest configuration.
	configBytes int
	// storeAnswered wakes pending retries when the store answers again.
	storeRecovered broadcast
	// rejectionLog limits the log lines about invalid entries, by field.
	rejectionLogLimiter decisionlog.Limiter
	// entryDigests has a digest of each entry by server ID. Their sum identifies the state of the
	// list.
	entryDigests map[string]uint64
}

// New returns a follower, which is started with Run.
func New(deps Dependencies, s Settings) *Follower {
	f := &Follower{Dependencies: deps, configLag: lagMonitor{logger: deps.Logger}, entryDigests: map[string]uint64{}}
	f.Peers.SetVersioned(f.Topics.Configuration)
	f.SetSettings(s)
	return f
}

// SetSettings applies new settings. A new store address is used from the next call on.
func (f *Follower) SetSettings(s Settings) {
	old := f.settings.Swap(&s)
	if old == nil || old.Address != s.Address {
		f.store.Store(&storeClient{f.Connect(s.Address)})
	}
}

// Run follows the store until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	go f.followTopic(ctx, f.configTopic)
	go f.followGateways(ctx)
	f.followTopic(ctx, f.serversTopic)
}

// followTopic reads a topic in a loop until ctx is done.
func (f *Follower) followTopic(ctx context.Context, current func() topic) {
	r := readState{}
	for ctx.Err() == nil {
		t := current()
		primary := f.Peers.Rank(t.name) == 0
		if r.loaded && !r.unavailable && !r.moreAvailable {
			f.waitUntilDue(ctx, t, primary, &r)
		}
		if !t.fetchFromPeer(ctx, &r) {
			f.read(ctx, t, primary, &r)
		}
	}
}

// waitUntilDue waits until the topic has to be read, or a peer reports a newer state.
func (f *Follower) waitUntilDue(ctx context.Context, t topic, primary bool, r *readState) {
	sleep(ctx, minReadInterval)
	for ctx.Err() == nil {
		confirmed, changed := f.Peers.LastConfirmed(t.name)
		maxAge := t.interval
		if !primary {
			maxAge = t.timing.MaxAge(t.slowestTransfer) + f.readDelay(t)
		}
		t.confirm(confirmed, f.graceStart(t.name, r))
		t.updateLag(r.lastErr)
		remaining := maxAge - time.Since(confirmed)
		if remaining <= 0 {
			return
		}
		timer := time.NewTimer(min(remaining, deferredRemovalCheckInterval))
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

// readDelay returns how long this gateway waits beyond the maximum age of a confirmation before it
// reads, so that gateways do not all read at once.
func (f *Follower) readDelay(t topic) time.Duration {
	delay := min(time.Duration(f.Peers.Rank(t.name))*readStagger, maxReadStagger)
	if small, _ := f.Peers.SmallHosts(); small && t.sharedByPeers {
		delay += smallHostDelay
	}
	return delay
}

// waitBeforeRetry waits before a failed call is retried. It returns early when a call for another
// topic succeeds, which shows that the store is back, or when a peer reports a newer state. A
// gateway that is not ready retries as often as the primary reader.
func (f *Follower) waitBeforeRetry(ctx context.Context, t topic) {
	delay := retryDelay
	if f.Gateway.Ready() {
		delay = min(retryDelay*time.Duration(1+f.Peers.Rank(t.name)), maxRetryDelay)
	}
	_, changed := f.Peers.LastConfirmed(t.name)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-changed:
	case <-f.storeRecovered.wait():
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
