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

// Store keeps verdicts, by ID. What all gateways know together is gone when all of them are killed;
// without the store three more servers would end each time.
type Store interface {
	// Newest returns what is kept, and the end of the topic.
	Newest(ctx context.Context) (kept map[string][]byte, end logposition.Position, err error)
	// Put keeps a value, nil for none. Where at is given, it does so only if the topic ends
	// there still; else the error has code Conflict, or LogRestored after the store came back from a copy.
	Put(ctx context.Context, key string, value []byte, at *logposition.Position) error
}

const (
	// sweepEvery is how often what is old is forgotten, and a failed write repeated.
	sweepEvery = time.Second
	// readAgain bounds how often the store is read for the verdicts of gateways that can't be
	// heard: when servers end, a few calls a minute.
	readAgain = 2 * time.Second
	// maxClaims bounds the tries to claim a trial while other verdicts are written.
	maxClaims = 3
	// writeQueue bounds the verdicts that wait to be written.
	writeQueue = 256
)

// Keeper has the duty of a ledger beside its requests: it keeps verdicts in the store, reads those
// of others, and logs and counts what happens.
type Persister struct {
	ledger *Tracker
	store  Store
	host   string
	logger *slog.Logger
	now    func() time.Time

	lines  decisionlog.Limiter
	loaded atomic.Bool
	writes chan ID
	reads  chan struct{} // has room for one

	mu       sync.Mutex
	claiming map[ID]bool
	unkept   map[ID]bool // to be written
}

// NewKeeper returns the keeper of a ledger on a host. Run is its duty.
func NewPersister(ledger *Tracker, store Store, host string, logger *slog.Logger) *Persister {
	return &Persister{ledger: ledger, store: store, host: host, logger: logger, now: time.Now,
		writes: make(chan ID, writeQueue), reads: make(chan struct{}, 1), claiming: map[ID]bool{}, unkept: map[ID]bool{}}
}

// Loaded reports whether the store was asked for verdicts, so that a gateway which starts does not
// send what was found out before. A failed read does not hold it up longer: it is repeated.
func (k *Persister) Loaded() bool { return k.loaded.Load() }

// Run works until ctx ends: one goroutine calls the store, this one takes events.
func (k *Persister) Run(ctx context.Context) {
	var calling sync.WaitGroup
	defer calling.Wait()
	calling.Go(func() { k.callStore(ctx) })
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.ledger.EventsReady():
			for _, e := range k.ledger.DrainEvents() {
				k.take(e)
			}
		case <-tick.C:
			k.ledger.Sweep(k.now())
			k.gauge()
		}
	}
}

func (k *Persister) gauge() {
	list, suspects := k.ledger.List()
	telemetry.SetGauge("merlinpost_quarantined_requests", float64(len(list)))
	telemetry.SetGauge("merlinpost_suspect_requests", float64(suspects))
}

// take logs and counts an event, and has the store follow.
func (k *Persister) take(e Event) {
	telemetry.Count("merlinpost_quarantine_events_total", "event", e.Kind.String())
	if k.lines.Allow(e.Kind.String(), k.now()) {
		k.log(e)
	}
	switch e.Kind {
	case Suspected:
		wake(k.reads)
	case Reached:
		k.write(e.ID)
	case Lifted:
		if e.Cause != Elsewhere {
			k.write(e.ID)
		}
	}
}

// messages are the lines about events.
var messages = map[Kind]string{
	Suspected: "a server has ended that ran the request", Reached: "request quarantined", Learnt: "request quarantined by another gateway",
	Renewed: "quarantined request on trial", Lifted: "quarantine ended", Dropped: "evidence dropped for want of room",
}

func (k *Persister) log(e Event) {
	fields := []any{slog.String("request", e.ID.String()), slog.Any("servers", servers(e.Crashes)), slog.Int("independent", len(independent(e.Crashes)))}
	if v := e.Verdict; v != nil {
		fields = append(fields, slog.Duration("refused_for", v.Until.Sub(k.now())), slog.Int("trials", v.Trials), slog.Any("verdict_servers", v.Servers))
	}
	if e.Cause != "" {
		fields = append(fields, slog.String("cause", string(e.Cause)))
	}
	level := slog.LevelInfo
	if e.Kind == Reached || e.Kind == Dropped {
		level = slog.LevelWarn
	}
	k.logger.Log(context.Background(), level, messages[e.Kind], fields...)
}

// write has the store follow the ledger about a request.
func (k *Persister) write(id ID) {
	k.mu.Lock()
	k.unkept[id] = true
	k.mu.Unlock()
	select {
	case k.writes <- id:
	default: // it is written with the next that is repeated
	}
}

// callStore reads verdicts at the start and when servers end, and writes them.
func (k *Persister) callStore(ctx context.Context) {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	read := k.read(ctx)
	k.loaded.Store(true)
	lastRead := k.now()
	for {
		select {
		case <-ctx.Done():
			return
		case id := <-k.writes:
			k.sync(ctx, id)
		case <-k.reads:
			if k.now().Sub(lastRead) >= readAgain {
				read = k.read(ctx)
				lastRead = k.now()
			}
		case <-tick.C:
			if !read {
				read = k.read(ctx)
				lastRead = k.now()
			}
			k.repeatWrites(ctx)
		}
	}
}

// read takes in what the store keeps; false if it can't be read.
func (k *Persister) read(ctx context.Context) bool {
	kept, _, err := k.store.Newest(ctx)
	if err != nil {
		if ctx.Err() == nil {
			k.logger.Warn("quarantine not read from the store", "error", err)
		}
		return false
	}
	now := k.now()
	for key, value := range kept {
		id, v, err := readKept(key, value, now)
		if err != nil {
			k.logger.Error("entry of the quarantine rejected", "key", key, "error", err)
			continue
		}
		if now.Sub(v.Until) <= forgetAfter {
			k.ledger.AdoptVerdict(id, v, now)
		}
	}
	return true
}

func readKept(key string, value []byte, now time.Time) (ID, Verdict, error) {
	id, err := ParseID(key)
	if err != nil {
		return id, Verdict{}, err
	}
	v, err := decodeKept(value, now)
	return id, v, err
}

func (k *Persister) repeatWrites(ctx context.Context) {
	k.mu.Lock()
	var ids []ID
	for id := range k.unkept {
		ids = append(ids, id)
	}
	k.mu.Unlock()
	for _, id := range ids {
		k.sync(ctx, id)
	}
}

// sync writes what the ledger has about a request.
func (k *Persister) sync(ctx context.Context, id ID) {
	var value []byte
	if v := k.ledger.Verdict(id); v != nil {
		var err error
		if value, err = encodeKept(*v, k.host); err != nil {
			k.logger.Error("verdict not encoded", "request", id.String(), "error", err)
			return
		}
	}
	if err := k.store.Put(ctx, id.String(), value, nil); err != nil {
		if ctx.Err() == nil {
			telemetry.Count("merlinpost_quarantine_writes_failed_total")
			k.logger.Warn("verdict not written to the store yet", "request", id.String(), "error", err)
		}
		return
	}
	k.mu.Lock()
	delete(k.unkept, id)
	k.mu.Unlock()
}

// claimStart marks that a trial of the request is being claimed here; false if it is already.
func (k *Persister) claimStart(id ID) (unkept, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.claiming[id] {
		return false, false
	}
	k.claiming[id] = true
	return k.unkept[id], true
}

// Claim claims the next trial of a quarantined request for this gateway: of all gateways, also of
// those that can't hear each other, one gets it, by a write that holds only if nobody has
// written in between. The verdict is nil where the quarantine was lifted meanwhile. Errors
// have code Quarantined where another has the trial.
func (k *Persister) Claim(ctx context.Context, id ID) (*Verdict, error) {
	unkept, ok := k.claimStart(id)
	if !ok {
		return nil, errTrialTaken(id)
	}
	defer func() {
		k.mu.Lock()
		delete(k.claiming, id)
		k.mu.Unlock()
	}()
	var err error
	for range maxClaims {
		var v *Verdict
		if v, err = k.claim(ctx, id, unkept); !fault.Is(err, fault.RevisionConflict) {
			return v, err
		}
	}
	return nil, err
}

func errTrialTaken(id ID) error {
	return fault.New(fault.Quarantined, "another has the trial of request %s", id).WithOutcome(fault.NotRun)
}

// claim tries once.
func (k *Persister) claim(ctx context.Context, id ID, unkept bool) (*Verdict, error) {
	kept, end, err := k.store.Newest(ctx)
	if err != nil {
		return nil, err
	}
	now := k.now()
	standing := k.ledger.Verdict(id)
	if standing == nil {
		return nil, nil
	}
	value, found := kept[id.String()]
	if !found && !unkept {
		k.ledger.clear(id, Elsewhere, now)
		return nil, nil
	}
	if found {
		v, err := decodeKept(value, now)
		if err != nil {
			return nil, err
		}
		if v.Trials > standing.Trials {
			k.ledger.AdoptVerdict(id, v, now)
			return nil, errTrialTaken(id)
		}
	}
	v := standing.WithTrial(now)
	if value, err = encodeKept(v, k.host); err != nil {
		return nil, fault.New(fault.Internal, "%w", err)
	}
	return &v, k.store.Put(ctx, id.String(), value, &end)
}
