package quarantine

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/merlinpost/merlinpost/internal/decisionlog"
	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/logposition"
	"github.com/merlinpost/merlinpost/internal/telemetry"
)

// Store persists verdicts by request ID in a topic. Without it, a restart of all gateways would lose
// the verdicts, and each fatal request would crash three more servers.
type Store interface {
	// Newest returns the newest value of each key and the end position of the topic.
	Newest(ctx context.Context) (values map[string][]byte, end logposition.Position, err error)
	// Put writes a value, or deletes the key if the value is nil. If at is not nil, the write succeeds
	// only if the topic still ends at that position. Otherwise the error has code RevisionConflict, or
	// LogRestored after a restore from a backup.
	Put(ctx context.Context, key string, value []byte, at *logposition.Position) error
}

const (
	// sweepInterval is how often expired entries are removed and failed writes are retried.
	sweepInterval = time.Second
	// minReadInterval is the minimum time between reads of the store. The store is read after server
	// crashes, a few times a minute, to obtain the verdicts of gateways that can't be reached.
	minReadInterval = 2 * time.Second
	// maxClaimAttempts limits the attempts to claim a trial when concurrent writes conflict with it.
	maxClaimAttempts = 3
	// writeQueueSize is the capacity of the queue of verdicts to write.
	writeQueueSize = 256
)

// Persister connects a tracker to the store, the log and the metrics. It writes the tracker's verdicts
// to the store, reads those of other gateways, and logs and counts events.
type Persister struct {
	tracker *Tracker
	store   Store
	host    string
	logger  *slog.Logger
	now     func() time.Time

	logLimiter   decisionlog.Limiter
	loaded       atomic.Bool
	writes       chan ID
	readRequests chan struct{} // capacity 1

	mu        sync.Mutex
	claiming  map[ID]bool // requests whose trial is being claimed
	unwritten map[ID]bool // verdicts that are not in the store yet
}

// NewPersister returns a persister for the tracker of the gateway on a host. Run must be called to
// start it.
func NewPersister(tracker *Tracker, store Store, host string, logger *slog.Logger) *Persister {
	return &Persister{tracker: tracker, store: store, host: host, logger: logger, now: time.Now,
		writes: make(chan ID, writeQueueSize), readRequests: make(chan struct{}, 1), claiming: map[ID]bool{}, unwritten: map[ID]bool{}}
}

// Loaded reports whether the first read of the store has finished. A starting gateway waits for it, so
// that it doesn't send requests that are already quarantined. A failed read counts as finished; it is
// retried in the background.
func (p *Persister) Loaded() bool { return p.loaded.Load() }

// Run processes events until ctx is done. Store calls are made in a second goroutine.
func (p *Persister) Run(ctx context.Context) {
	var storeLoop sync.WaitGroup
	defer storeLoop.Wait()
	storeLoop.Go(func() { p.runStore(ctx) })
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.tracker.EventsReady():
			for _, e := range p.tracker.DrainEvents() {
				p.handleEvent(e)
			}
		case <-tick.C:
			p.tracker.Sweep(p.now())
			p.updateGauges()
		}
	}
}

func (p *Persister) updateGauges() {
	list, suspects := p.tracker.List()
	telemetry.SetGauge("merlinpost_quarantined_requests", float64(len(list)))
	telemetry.SetGauge("merlinpost_suspect_requests", float64(suspects))
}

// handleEvent counts and logs an event, and queues the store access that it requires.
func (p *Persister) handleEvent(e Event) {
	telemetry.Count("merlinpost_quarantine_events_total", "event", e.Kind.String())
	if p.logLimiter.Allow(e.Kind.String(), p.now()) {
		p.logEvent(e)
	}
	switch e.Kind {
	case EventSuspected:
		signal(p.readRequests)
	case EventQuarantined:
		p.queueWrite(e.ID)
	case EventLifted:
		if e.Cause != CauseOtherGateway {
			p.queueWrite(e.ID)
		}
	}
}

// eventLogMessages are the log messages of the events.
var eventLogMessages = map[EventKind]string{
	EventSuspected: "a server has ended that ran the request", EventQuarantined: "request quarantined", EventVerdictReceived: "request quarantined by another gateway",
	EventTrialStarted: "quarantined request on trial", EventLifted: "quarantine ended", EventEvicted: "suspect evicted: tracker is full",
}

func (p *Persister) logEvent(e Event) {
	fields := []any{slog.String("request", e.ID.String()), slog.Any("servers", serversOf(e.Crashes)), slog.Int("independent", len(independentCrashes(e.Crashes)))}
	if v := e.Verdict; v != nil {
		fields = append(fields, slog.Duration("refused_for", v.Until.Sub(p.now())), slog.Int("trials", v.Trials), slog.Any("verdict_servers", v.Servers))
	}
	if e.Cause != "" {
		fields = append(fields, slog.String("cause", string(e.Cause)))
	}
	level := slog.LevelInfo
	if e.Kind == EventQuarantined || e.Kind == EventEvicted {
		level = slog.LevelWarn
	}
	p.logger.Log(context.Background(), level, eventLogMessages[e.Kind], fields...)
}

// queueWrite queues the verdict on a request for writing to the store.
func (p *Persister) queueWrite(id ID) {
	p.mu.Lock()
	p.unwritten[id] = true
	p.mu.Unlock()
	select {
	case p.writes <- id:
	default: // the queue is full; retryWrites writes the verdict later
	}
}

// runStore reads the store at startup and after server crashes, and writes the queued verdicts, until ctx
// is done.
func (p *Persister) runStore(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	readOK := p.readStore(ctx)
	p.loaded.Store(true)
	lastRead := p.now()
	for {
		select {
		case <-ctx.Done():
			return
		case id := <-p.writes:
			p.writeVerdict(ctx, id)
		case <-p.readRequests:
			if p.now().Sub(lastRead) >= minReadInterval {
				readOK = p.readStore(ctx)
				lastRead = p.now()
			}
		case <-tick.C:
			if !readOK {
				readOK = p.readStore(ctx)
				lastRead = p.now()
			}
			p.retryWrites(ctx)
		}
	}
}

// readStore adopts the verdicts in the store. It reports whether the store could be read.
func (p *Persister) readStore(ctx context.Context) bool {
	values, _, err := p.store.Newest(ctx)
	if err != nil {
		if ctx.Err() == nil {
			p.logger.Warn("cannot read quarantine verdicts from store; will retry", "error", err)
		}
		return false
	}
	now := p.now()
	for key, value := range values {
		id, v, err := decodeEntry(key, value, now)
		if err != nil {
			p.logger.Error("ignoring invalid quarantine verdict in store", "key", key, "error", err)
			continue
		}
		if now.Sub(v.Until) <= verdictTTL {
			p.tracker.AdoptVerdict(id, v, now)
		}
	}
	return true
}

func decodeEntry(key string, value []byte, now time.Time) (ID, Verdict, error) {
	id, err := ParseID(key)
	if err != nil {
		return id, Verdict{}, err
	}
	v, err := decodeVerdict(value, now)
	return id, v, err
}

func (p *Persister) retryWrites(ctx context.Context) {
	p.mu.Lock()
	var ids []ID
	for id := range p.unwritten {
		ids = append(ids, id)
	}
	p.mu.Unlock()
	for _, id := range ids {
		p.writeVerdict(ctx, id)
	}
}

// writeVerdict writes the tracker's verdict on a request to the store. If there is no verdict, it
// deletes the stored one.
func (p *Persister) writeVerdict(ctx context.Context, id ID) {
	var value []byte
	if v := p.tracker.Verdict(id); v != nil {
		var err error
		if value, err = encodeVerdict(*v, p.host); err != nil {
			p.logger.Error("cannot encode quarantine verdict", "request", id.String(), "error", err)
			return
		}
	}
	if err := p.store.Put(ctx, id.String(), value, nil); err != nil {
		if ctx.Err() == nil {
			telemetry.Count("merlinpost_quarantine_writes_failed_total")
			p.logger.Warn("cannot write quarantine verdict to store; will retry", "request", id.String(), "error", err)
		}
		return
	}
	p.mu.Lock()
	delete(p.unwritten, id)
	p.mu.Unlock()
}

// beginClaim marks the trial of a request as being claimed by this gateway. ok is false if a claim is
// already in progress; unwritten reports whether the verdict is not in the store yet.
func (p *Persister) beginClaim(id ID) (unwritten, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.claiming[id] {
		return false, false
	}
	p.claiming[id] = true
	return p.unwritten[id], true
}

// Claim claims the next trial of a quarantined request for this gateway and returns the verdict that
// applies during the trial, or nil if the quarantine was lifted in the meantime. A conditional write
// ensures that only one gateway succeeds, even if the gateways can't reach each other. The error has
// code Quarantined if the trial is already claimed.
func (p *Persister) Claim(ctx context.Context, id ID) (*Verdict, error) {
	unwritten, ok := p.beginClaim(id)
	if !ok {
		return nil, errTrialClaimed(id)
	}
	defer func() {
		p.mu.Lock()
		delete(p.claiming, id)
		p.mu.Unlock()
	}()
	var err error
	for range maxClaimAttempts {
		var v *Verdict
		if v, err = p.tryClaim(ctx, id, unwritten); !fault.Is(err, fault.RevisionConflict) {
			return v, err
		}
	}
	return nil, err
}

func errTrialClaimed(id ID) error {
	return fault.New(fault.Quarantined, "trial of request %s is already claimed", id).WithOutcome(fault.NotRun)
}

// tryClaim makes one attempt to claim the trial. The error has code RevisionConflict if another write
// came first.
func (p *Persister) tryClaim(ctx context.Context, id ID, unwritten bool) (*Verdict, error) {
	values, end, err := p.store.Newest(ctx)
	if err != nil {
		return nil, err
	}
	now := p.now()
	current := p.tracker.Verdict(id)
	if current == nil {
		return nil, nil
	}
	value, found := values[id.String()]
	if !found && !unwritten {
		p.tracker.clear(id, CauseOtherGateway, now)
		return nil, nil
	}
	if found {
		v, err := decodeVerdict(value, now)
		if err != nil {
			return nil, err
		}
		if v.Trials > current.Trials {
			p.tracker.AdoptVerdict(id, v, now)
			return nil, errTrialClaimed(id)
		}
	}
	v := current.WithTrial(now)
	if value, err = encodeVerdict(v, p.host); err != nil {
		return nil, fault.New(fault.Internal, "%w", err)
	}
	return &v, p.store.Put(ctx, id.String(), value, &end)
}
