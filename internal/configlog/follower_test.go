package configlog

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/resource"
	"github.com/merlinpost/merlinpost/internal/settings"
)

// fakeLog is an in-memory Log with fault injection.
type fakeLog struct {
	streams       map[string][][]byte
	first         map[string]uint64
	unavailable   bool
	loseResponses bool // appends take effect but their responses are lost
	afterAppend   func()
}

func newFakeLog() *fakeLog {
	return &fakeLog{streams: map[string][][]byte{}, first: map[string]uint64{}}
}

func (l *fakeLog) firstOffset(stream string) uint64 { return max(1, l.first[stream]) }

func (l *fakeLog) Append(_ context.Context, stream string, data []byte) (uint64, error) {
	if l.unavailable {
		return 0, fault.New(fault.LogUnavailable, "down").WithOutcome(fault.NotRun)
	}
	l.streams[stream] = append(l.streams[stream], data)
	if l.afterAppend != nil {
		l.afterAppend()
	}
	if l.loseResponses {
		return 0, fault.New(fault.LogWriteUnconfirmed, "response lost").WithOutcome(fault.Unknown)
	}
	return l.firstOffset(stream) + uint64(len(l.streams[stream])) - 1, nil
}

func (l *fakeLog) Read(_ context.Context, stream string, from uint64, _ time.Duration) (Batch, error) {
	if l.unavailable {
		return Batch{}, fault.New(fault.LogUnavailable, "down")
	}
	first := l.firstOffset(stream)
	b := Batch{First: first, Next: first + uint64(len(l.streams[stream]))}
	if from < first {
		return b, fault.New(fault.LogTruncated, "truncated")
	}
	for i := from; i < b.Next; i++ {
		b.Entries = append(b.Entries, Entry{i, l.streams[stream][i-first]})
	}
	return b, nil
}

// truncate drops all but the newest keep records of a stream.
func (l *fakeLog) truncate(stream string, keep int) {
	if n := len(l.streams[stream]) - keep; n > 0 {
		l.first[stream] = l.firstOffset(stream) + uint64(n)
		l.streams[stream] = l.streams[stream][n:]
	}
}

func newTestFollower(l Log, snapshots bool) *Follower {
	return NewFollower(l, settings.Log{PollMS: 100, SnapshotEvery: 4, SnapshotAgeMS: 3600_000}, snapshots,
		slog.New(slog.NewTextHandler(io.Discard, nil)), rand.New(rand.NewPCG(1, 1)))
}

func classRecord(operation, name string, base uint64, tier int) resource.Record {
	spec := fmt.Sprintf(`{"tier":%d,"max_wait_ms":1000,"max_run_ms":2000,"max_tokens":10}`, tier)
	return resource.Record{Operation: operation, Actor: "test", Changes: []resource.Change{{Verb: resource.Put, Kind: resource.KindClass,
		Name: name, Base: base, Spec: json.RawMessage(spec)}}}
}

// Several processes submit conflicting changes while the log becomes unavailable or
// loses responses and processes restart. Every process must apply an accepted change
// exactly once and a change rejected with outcome NotRun never, all processes must
// converge to the same state, and no revision may decrease.
func TestWhatIsAcceptedIsInForceEverywhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		l := newFakeLog()
		followers := []*Follower{newTestFollower(l, true), newTestFollower(l, true), newTestFollower(l, false)}
		ctx := context.Background()
		expired, cancel := context.WithCancel(ctx) // Submit does not wait
		cancel()
		step := func(f *Follower) {
			before := f.View().Revision
			f.updateLogStatus(f.readBatch(ctx)) // read errors are injected on purpose
			g.Expect(f.View().Revision).To(BeNumerically(">=", before))
		}
		accepted, rejected := map[string]bool{}, map[string]bool{}
		var peerSnapshot []byte
		var unconfirmed *resource.Record
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			k := rapid.IntRange(0, len(followers)-1).Draw(t, "process")
			f := followers[k]
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 8: // a possibly stale snapshot from a peer
				peer := followers[rapid.IntRange(0, len(followers)-1).Draw(t, "peer")]
				if peerSnapshot == nil || rapid.Bool().Draw(t, "newly encoded") {
					_, peerSnapshot, _ = peer.EncodeSnapshot(0)
				}
				before := f.View().Revision
				if peerSnapshot != nil && f.InstallSnapshot(peerSnapshot) == nil {
					g.Expect(f.View().Revision).To(BeNumerically(">=", before))
				}
			case 9: // the operator retries a change whose outcome is unknown
				if unconfirmed != nil && f.Ready() {
					l.afterAppend = func() { step(f) }
					if _, err := f.Submit(expired, *unconfirmed); err == nil {
						accepted[unconfirmed.Operation] = true
						unconfirmed = nil
					}
					l.afterAppend = nil
				}
			case 0:
				l.unavailable = !l.unavailable
			case 1:
				l.loseResponses = !l.loseResponses
			case 2: // a restart; if the log is down it gets the state from a peer
				followers[k] = newTestFollower(l, k < 2)
				step(followers[k])
				if !followers[k].Ready() {
					peer := followers[(k+1)%len(followers)]
					if revision, data, err := peer.EncodeSnapshot(0); err == nil && data != nil && peer.Ready() {
						g.Expect(followers[k].InstallSnapshot(data)).To(Succeed())
						g.Expect(followers[k].View().Revision).To(Equal(revision))
					}
				}
			case 3, 4:
				step(f)
			default:
				if !f.Ready() {
					step(f)
					continue
				}
				name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
				base := uint64(0)
				if r, ok := f.View().History(resource.Ref{Kind: resource.KindClass, Name: name}); ok {
					base = r.Latest().Revision
				}
				operation := fmt.Sprint("op", i)
				l.afterAppend = nil
				if rapid.Bool().Draw(t, "read back in time") {
					l.afterAppend = func() { step(f) }
				}
				rec := classRecord(operation, name, base, i%5)
				_, err := f.Submit(expired, rec)
				l.afterAppend = nil
				switch {
				case err == nil:
					accepted[operation] = true
				case fault.From(err).Outcome == fault.NotRun:
					rejected[operation] = true
				default:
					g.Expect(fault.Is(err, fault.LogWriteUnconfirmed)).To(BeTrue(), "%v", err)
					unconfirmed = &rec
				}
			}
		}
		l.unavailable, l.loseResponses = false, false
		var want string
		for i, f := range followers {
			for range 3 {
				step(f)
			}
			g.Expect(f.Ready()).To(BeTrue())
			data, err := f.state.Snapshot()
			g.Expect(err).NotTo(HaveOccurred())
			if i == 0 {
				want = string(data)
			}
			g.Expect(string(data)).To(Equal(want))
			for op := range accepted {
				g.Expect(countApplied(l, op)).To(Equal(1), "%s must be applied exactly once", op)
				res, ok := f.View().Operation(op)
				g.Expect(ok && res.Applied).To(BeTrue(), op)
			}
			for op := range rejected {
				res, ok := f.View().Operation(op)
				g.Expect(ok && res.Applied).To(BeFalse(), op)
			}
		}
	})
}

// After retention has truncated the log, a new process starts from the snapshot
// and the records after it. Without a snapshot it does not become ready and
// reports the truncation.
func TestNewcomerAfterRetention(t *testing.T) {
	g := NewWithT(t)
	l := newFakeLog()
	ctx := context.Background()
	router := newTestFollower(l, true)
	g.Expect(router.readBatch(ctx)).To(Succeed())
	base := uint64(0)
	for i := range 30 {
		data, err := json.Marshal(classRecord(fmt.Sprint("op", i), "a", base, i%5))
		g.Expect(err).NotTo(HaveOccurred())
		base, err = l.Append(ctx, StreamConfig, data)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(router.readBatch(ctx)).To(Succeed())
	}
	g.Expect(l.streams[StreamSnapshots]).NotTo(BeEmpty())
	g.Expect(len(l.streams[StreamSnapshots])).To(BeNumerically("<=", 8), "snapshots must not be taken too often")

	l.truncate(StreamConfig, 3)
	g.Expect(router.readBatch(ctx)).To(Succeed()) // detects that records after its snapshot have been truncated
	newProcess := newTestFollower(l, false)
	g.Expect(newProcess.readBatch(ctx)).To(Succeed())
	g.Expect(newProcess.Ready()).To(BeTrue())
	g.Expect(newProcess.View().Revision).To(Equal(uint64(30)))

	delete(l.streams, StreamSnapshots)
	withoutSnapshot := newTestFollower(l, false)
	g.Expect(fault.Is(withoutSnapshot.readBatch(ctx), fault.LogTruncated)).To(BeTrue())
	g.Expect(withoutSnapshot.Ready()).To(BeFalse())
}

// A snapshot larger than one record is split and reassembled; corrupt or
// incomplete ones are ignored.
func TestSnapshotChunks(t *testing.T) {
	g := NewWithT(t)
	data := make([]byte, 3*maxChunkBytes+17)
	for i := range data {
		data[i] = byte(i * 31)
	}
	a := newSnapshotAssembler()
	add := func(chunks []snapshotChunk) {
		for _, c := range chunks {
			record, err := json.Marshal(c)
			g.Expect(err).NotTo(HaveOccurred())
			a.add(record)
		}
	}
	add(splitSnapshot("one", 5, data))
	g.Expect(a.data).To(Equal(data))
	add(splitSnapshot("incomplete", 9, data)[:3])
	corrupt := splitSnapshot("corrupt", 8, data)
	corrupt[1].Data = append([]byte(nil), corrupt[1].Data...)
	corrupt[1].Data[0]++
	add(corrupt)
	add(splitSnapshot("older", 4, data[:10]))
	a.add([]byte("{"))
	g.Expect(a.revision).To(Equal(uint64(5)))
}

// countApplied returns how many records of an operation take effect when the log is replayed.
func countApplied(l *fakeLog, operation string) int {
	f, n := resource.NewState(), 0
	for i, data := range l.streams[StreamConfig] {
		if res, fresh := f.Apply(uint64(i+1), data); fresh && res.Applied && res.Operation == operation {
			n++
		}
	}
	return n
}
