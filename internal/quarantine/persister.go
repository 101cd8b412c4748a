package quarantine

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/merlinpost/merlinpost/internal/decisionlog"
	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/logposition"
	"github.com/merlinpost/merlinpost/internal/telemetry"
)

// Store persists verdicts in a topic, by request or prompt part. Without it, a restart of all gateways
// would lose the verdicts, and each fatal request would crash three more servers.
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
	names   names
	store   Store
	host    string
	logger  *slog.Logger
	now     func() time.Time

	logLimiter   decisionlog.Limiter
	loaded       atomic.Bool
	reader       *Persister // reads the store for this persister
	parts        *Persister // for which this persister reads the store, nil for none
	writes       chan ID
	readRequests chan struct{} // capacity 1

	mu        sync.Mutex
	claiming  map[ID]bool // entries whose trial is being claimed
	unwritten map[ID]bool // verdicts that are not in the store yet
}

// NewPersister returns a persister for the tracker of the gateway on a host. Run must be called to
// start it.
func NewPersister(tracker *Tracker, store Store, host string, logger *slog.Logger) *Persister {
	p := newPersister(tracker, requestNames, store, host, logger)
	p.reader = p
	return p
}

// NewPartPersister returns a persister for a tracker of prompt parts, which uses the topic of reader. The latter reads
// the verdicts of both from the store. It must be called before Run of either.
func NewPartPersister(tracker *PartTracker, reader *Persister) *Persister {
	p := newPersister(tracker.Tracker, partNames, reader.store, reader.host, reader.logger)
	p.reader, reader.parts = reader, p
	return p
}

func newPersister(tracker *Tracker, names names, store Store, host string, logger *slog.Logger) *Persister {
	return &Persister{tracker: tracker, names: names, store: store, host: host, logger: logger, now: time.Now,
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
	telemetry.SetGauge(p.names.quarantinedGauge, float64(len(list)))
	telemetry.SetGauge(p.names.suspectsGauge, float64(suspects))
}

// handleEvent counts and logs an event, and queues the store access that it requires.
func (p *Persister) handleEvent(e Event) {
	telemetry.Count(p.names.eventsCounter, "event", e.Kind.String())
	if p.logLimiter.Allow(e.Kind.String(), p.now()) {
		p.logEvent(e)
	}
	switch e.Kind {
	case EventSuspected:
		signal(p.reader.readRequests)
	case EventQuarantined, EventNarrowed:
		p.queueWrite(e.ID)
	case EventLifted:
		if e.Cause != CauseOtherGateway {
			p.queueWrite(e.ID)
		}
	}
}

// names are the names that a persister uses for the entries of its tracker.
type names struct {
	logKey                                         string // of the entry's ID in log lines
	keyPrefix                                      string // of the entry's key in the store
	quarantinedGauge, suspectsGauge, eventsCounter string
	messages                                       map[EventKind]string
}

var requestNames = names{
	logKey: "request", quarantinedGauge: "merlinpost_quarantined_requests", suspectsGauge: "merlinpost_suspect_requests", eventsCounter: "merlinpost_quarantine_events_total",
	messages: map[EventKind]string{
		EventSuspected: "a server has ended that ran the request", EventQuarantined: "request quarantined", EventVerdictReceived: "request quarantined by another gateway",
		EventTrialStarted: "quarantined request on trial", EventLifted: "quarantine ended", EventEvicted: "suspect evicted: tracker is full",
	},
}

// partKeyPrefix distinguishes prompt parts from requests in the topic that they share.
const partKeyPrefix = "part-"

var partNames = names{
	logKey: "prompt_part", keyPrefix: partKeyPrefix, quarantinedGauge: "merlinpost_quarantined_prompt_parts", suspectsGauge: "merlinpost_suspect_prompt_parts", eventsCounter: "merlinpost_prompt_part_events_total",
	messages: map[EventKind]string{
		EventSuspected: "servers have ended that ran requests with the prompt part", EventQuarantined: "prompt part quarantined", EventVerdictReceived: "prompt part quarantined by another gateway",
		EventTrialStarted: "quarantined prompt part on trial", EventLifted: "quarantine of a prompt part ended", EventEvicted: "suspect evicted: tracker is full",
		EventNarrowed: "quarantine of a prompt part applies to more requests",
	},
}

// key returns the key of an entry in the store.
func (n names) key(id ID) string { return n.keyPrefix + id.String() }

func (p *Persister) logEvent(e Event) {
	fields := []any{slog.String(p.names.logKey, e.ID.String()), slog.Any("servers", serversOf(e.Crashes)), slog.Int("independent", len(independentCrashes(e.Crashes)))}
	if v := e.Verdict; v != nil {
		fields = append(fields, slog.Duration("refused_for", v.Until.Sub(p.now())), slog.Int("trials", v.Trials), slog.Any("verdict_servers", v.Servers))
		if len(v.Companions) > 0 {
			fields = append(fields, slog.Any("companions", v.Companions))
		}
	}
	if e.Part != nil {
		fields = append(fields, slog.Any("name", *e.Part))
	}
	if e.Cause != "" {
		fields = append(fields, slog.String("cause", string(e.Cause)))
	}
	level := slog.LevelInfo
	if e.Kind == EventQuarantined || e.Kind == EventEvicted {
		level = slog.LevelWarn
	}
	p.logger.Log(context.Background(), level, p.names.messages[e.Kind], fields...)
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
	reads := p.reader == p
	readOK := !reads || p.readStore(ctx)
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
		text, isPart := strings.CutPrefix(key, partKeyPrefix)
		owner := p
		if isPart {
			owner = p.parts
		}
		if owner == nil {
			continue
		}
		id, v, err := decodeEntry(text, value, now)
		if err != nil {
			p.logger.Error("ignoring invalid quarantine verdict in store", "key", key, "error", err)
			continue
		}
		if now.Sub(v.Until) <= verdictTTL {
			owner.tracker.AdoptVerdict(id, v, now)
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
			p.logger.Error("cannot encode quarantine verdict", p.names.logKey, id.String(), "error", err)
			return
		}
	}
	if err := p.store.Put(ctx, p.names.key(id), value, nil); err != nil {
		if ctx.Err() == nil {
			telemetry.Count("merlinpost_quarantine_writes_failed_total")
			p.logger.Warn("cannot write quarantine verdict to store; will retry", p.names.logKey, id.String(), "error", err)
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
	return fault.New(fault.Quarantined, "trial of %s is already claimed", id).WithOutcome(fault.NotRun)
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
	value, found := values[p.names.key(id)]
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
	return &v, p.store.Put(ctx, p.names.key(id), value, &end)
}
