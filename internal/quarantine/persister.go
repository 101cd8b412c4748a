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

// Store persists verdicts by request ID. Without it, a restart of all gateways would lose the verdicts
// and let each fatal request crash three more servers.
type Store interface {
	// Newest returns the stored values and the end position of the topic.
	Newest(ctx context.Context) (values map[string][]byte, end logposition.Position, err error)
	// Put writes a value, nil to delete it. If at is set, the write succeeds only while the topic still
	// ends there; otherwise the error has code RevisionConflict, or LogRestored after a restore
	// from a backup.
	Put(ctx context.Context, key string, value []byte, at *logposition.Position) error
}

const (
	// sweepInterval is how often expired entries are removed and failed writes retried.
	sweepInterval = time.Second
	// minReadInterval bounds how often the store is read for verdicts of gateways that are out of
	// reach: a few calls a minute when servers crash.
	minReadInterval = 2 * time.Second
	// maxClaimAttempts bounds the attempts to claim a trial while other verdicts are being written.
	maxClaimAttempts = 3
	// writeQueueSize bounds the queue of verdicts to write.
	writeQueueSize = 256
)

// Persister connects a tracker to the store, logs and metrics: it writes the tracker's verdicts, reads
// those of other gateways, and logs and counts events.
type Persister struct {
	tracker *Tracker
	store   Store
	host    string
	logger  *slog.Logger
	now     func() time.Time

	logLimiter   decisionlog.Limiter
	loaded       atomic.Bool
	writes       chan ID
	readRequests chan struct{} // holds one request

	mu        sync.Mutex
	claiming  map[ID]bool
	unwritten map[ID]bool // verdicts that are not in the store yet
}

// NewPersister returns a persister for the tracker of a host. Run starts it.
func NewPersister(tracker *Tracker, store Store, host string, logger *slog.Logger) *Persister {
	return &Persister{tracker: tracker, store: store, host: host, logger: logger, now: time.Now,
		writes: make(chan ID, writeQueueSize), readRequests: make(chan struct{}, 1), claiming: map[ID]bool{}, unwritten: map[ID]bool{}}
}

// Loaded reports whether the store has been read once, so that a gateway which starts does not send
// requests that are already quarantined. A failed read also counts, as it is retried in the background.
func (p *Persister) Loaded() bool { return p.loaded.Load() }

// Run processes events until ctx ends. A second goroutine makes the store calls.
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

// handle logs and counts an event, and updates the store.
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

// messages are the log messages of the events.
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

// queueWrite marks a request's verdict for writing to the store.
func (p *Persister) queueWrite(id ID) {
	p.mu.Lock()
	p.unwritten[id] = true
	p.mu.Unlock()
	select {
	case p.writes <- id:
	default: // retryWrites writes it
	}
}

// runStore reads verdicts at the start and after server crashes, and writes those that are queued.
func (p *Persister) runStore(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	read := p.readStore(ctx)
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
				read = p.readStore(ctx)
				lastRead = p.now()
			}
		case <-tick.C:
			if !read {
				read = p.readStore(ctx)
				lastRead = p.now()
			}
			p.retryWrites(ctx)
		}
	}
}

// read adopts the verdicts in the store; false if the store can't be read.
func (p *Persister) readStore(ctx context.Context) bool {
	values, _, err := p.store.Newest(ctx)
	if err != nil {
		if ctx.Err() == nil {
			p.logger.Warn("cannot read quarantine from store; will retry", "error", err)
		}
		return false
	}
	now := p.now()
	for key, value := range values {
		id, v, err := decodeEntry(key, value, now)
		if err != nil {
			p.logger.Error("invalid quarantine entry in store ignored", "key", key, "error", err)
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

// writeVerdict writes the tracker's verdict on a request to the store, or deletes it there.
func (p *Persister) writeVerdict(ctx context.Context, id ID) {
	var value []byte
	if v := p.tracker.Verdict(id); v != nil {
		var err error
		if value, err = encodeVerdict(*v, p.host); err != nil {
			p.logger.Error("cannot encode verdict", "request", id.String(), "error", err)
			return
		}
	}
	if err := p.store.Put(ctx, id.String(), value, nil); err != nil {
		if ctx.Err() == nil {
			telemetry.Count("merlinpost_quarantine_writes_failed_total")
			p.logger.Warn("cannot write verdict to store; will retry", "request", id.String(), "error", err)
		}
		return
	}
	p.mu.Lock()
	delete(p.unwritten, id)
	p.mu.Unlock()
}

// beginClaim marks the trial of a request as being claimed by this gateway; ok is false if it already is.
func (p *Persister) beginClaim(id ID) (unwritten, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.claiming[id] {
		return false, false
	}
	p.claiming[id] = true
	return p.unwritten[id], true
}

// Claim claims the next trial of a quarantined request for this gateway. A conditional write gives it to
// exactly one gateway, also while gateways can't reach each other. The verdict is nil if the quarantine
// was lifted meanwhile. Errors have code Quarantined if another gateway has the trial.
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
	return fault.New(fault.Quarantined, "the trial of request %s is already claimed", id).WithOutcome(fault.NotRun)
}

// tryClaim makes one attempt to claim the trial.
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
