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

// fakeLog is a Log in memory whose failures are set by the test.
type fakeLog struct {
	streams map[string][][]byte
	first   map[string]uint64
	down    bool
	lose    bool // the write takes effect, its answer is lost
	after   func()
}

func newFakeLog() *fakeLog {
	return &fakeLog{streams: map[string][][]byte{}, first: map[string]uint64{}}
}

func (l *fakeLog) start(stream string) uint64 { return max(1, l.first[stream]) }

func (l *fakeLog) Append(_ context.Context, stream string, data []byte) (uint64, error) {
	if l.down {
		return 0, fault.New(fault.LogUnavailable, "down").WithOutcome(fault.NotRun)
	}
	l.streams[stream] = append(l.streams[stream], data)
	if l.after != nil {
		l.after()
	}
	if l.lose {
		return 0, fault.New(fault.LogWriteUnconfirmed, "the answer was lost").WithOutcome(fault.Unknown)
	}
	return l.start(stream) + uint64(len(l.streams[stream])) - 1, nil
}

func (l *fakeLog) Read(_ context.Context, stream string, from uint64, _ time.Duration) (Batch, error) {
	if l.down {
		return Batch{}, fault.New(fault.LogUnavailable, "down")
	}
	first := l.start(stream)
	b := Batch{First: first, Next: first + uint64(len(l.streams[stream]))}
	if from < first {
		return b, fault.New(fault.LogTruncated, "gone")
	}
	for i := from; i < b.Next; i++ {
		b.Entries = append(b.Entries, Entry{i, l.streams[stream][i-first]})
	}
	return b, nil
}

// drop forgets all but the newest records of a stream.
func (l *fakeLog) drop(stream string, keep int) {
	if n := len(l.streams[stream]) - keep; n > 0 {
		l.first[stream] = l.start(stream) + uint64(n)
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

// Operators race through routers while the log fails in every way it may. What
// is accepted is in force and stays; what is refused as not run is nowhere; all
// processes come to the same state; no process ever goes back.
func TestWhatIsAcceptedIsInForceEverywhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		l := newFakeLog()
		followers := []*Follower{newTestFollower(l, true), newTestFollower(l, true), newTestFollower(l, false)}
		ctx := context.Background()
		done, cancel := context.WithCancel(ctx)
		cancel()
		step := func(f *Follower) {
			before := f.View().Revision
			f.noteLog(f.step(ctx)) // failures are part of the test
			g.Expect(f.View().Revision).To(BeNumerically(">=", before))
		}
		accepted, refused := map[string]bool{}, map[string]bool{}
		var late []byte
		var unsettled *resource.Record
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			k := rapid.IntRange(0, len(followers)-1).Draw(t, "process")
			f := followers[k]
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 8: // a peer's state comes late
				peer := followers[rapid.IntRange(0, len(followers)-1).Draw(t, "peer")]
				if late == nil || rapid.Bool().Draw(t, "newly encoded") {
					_, late, _ = peer.EncodeSnapshot(0)
				}
				before := f.View().Revision
				if late != nil && f.InstallSnapshot(late) == nil {
					g.Expect(f.View().Revision).To(BeNumerically(">=", before))
				}
			case 9: // the operator sends an unsettled change again
				if unsettled != nil && f.Ready() {
					l.after = func() { step(f) }
					if _, err := f.Submit(done, *unsettled); err == nil {
						accepted[unsettled.Operation] = true
						unsettled = nil
					}
					l.after = nil
				}
			case 0:
				l.down = !l.down
			case 1:
				l.lose = !l.lose
			case 2: // a restart; with the log out it asks a peer
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
				l.after = nil
				if rapid.Bool().Draw(t, "read back in time") {
					l.after = func() { step(f) }
				}
				rec := classRecord(operation, name, base, i%5)
				_, err := f.Submit(done, rec)
				l.after = nil
				switch {
				case err == nil:
					accepted[operation] = true
				case fault.From(err).Outcome == fault.NotRun:
					refused[operation] = true
				default:
					g.Expect(fault.Is(err, fault.LogWriteUnconfirmed)).To(BeTrue(), "%v", err)
					unsettled = &rec
				}
			}
		}
		l.down, l.lose = false, false
		var want string
		for i, f := range followers {
			for range 3 {
				step(f)
			}
			g.Expect(f.Ready()).To(BeTrue())
			data, err := f.fold.Snapshot()
			g.Expect(err).NotTo(HaveOccurred())
			if i == 0 {
				want = string(data)
			}
			g.Expect(string(data)).To(Equal(want))
			for op := range accepted {
				g.Expect(applied(l, op)).To(Equal(1), "%s took effect so often", op)
				res, ok := f.View().Operation(op)
				g.Expect(ok && res.Applied).To(BeTrue(), op)
			}
			for op := range refused {
				res, ok := f.View().Operation(op)
				g.Expect(ok && res.Applied).To(BeFalse(), op)
			}
		}
	})
}

// Retention drops what snapshots replace; a newcomer starts from the snapshot
// and the tail, and one with a gap is not ready and says so.
func TestNewcomerAfterRetention(t *testing.T) {
	g := NewWithT(t)
	l := newFakeLog()
	ctx := context.Background()
	router := newTestFollower(l, true)
	g.Expect(router.step(ctx)).To(Succeed())
	base := uint64(0)
	for i := range 30 {
		data, err := json.Marshal(classRecord(fmt.Sprint("op", i), "a", base, i%5))
		g.Expect(err).NotTo(HaveOccurred())
		base, err = l.Append(ctx, StreamConfig, data)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(router.step(ctx)).To(Succeed())
	}
	g.Expect(l.streams[StreamSnapshots]).NotTo(BeEmpty())
	g.Expect(len(l.streams[StreamSnapshots])).To(BeNumerically("<=", 8), "snapshots come now and then only")

	l.drop(StreamConfig, 3)
	g.Expect(router.step(ctx)).To(Succeed()) // sees that the log no longer reaches back to its snapshot
	newcomer := newTestFollower(l, false)
	g.Expect(newcomer.step(ctx)).To(Succeed())
	g.Expect(newcomer.Ready()).To(BeTrue())
	g.Expect(newcomer.View().Revision).To(Equal(uint64(30)))

	delete(l.streams, StreamSnapshots)
	lost := newTestFollower(l, false)
	g.Expect(fault.Is(lost.step(ctx), fault.LogTruncated)).To(BeTrue())
	g.Expect(lost.Ready()).To(BeFalse())
}

// A snapshot larger than one record is cut and put together again; a broken or
// unfinished one is not used.
func TestSnapshotChunks(t *testing.T) {
	g := NewWithT(t)
	data := make([]byte, 3*chunkBytes+17)
	for i := range data {
		data[i] = byte(i * 31)
	}
	a := newAssembler()
	add := func(chunks []snapshotChunk) {
		for _, c := range chunks {
			record, err := json.Marshal(c)
			g.Expect(err).NotTo(HaveOccurred())
			a.add(record)
		}
	}
	add(split("one", 5, data))
	g.Expect(a.data).To(Equal(data))
	add(split("unfinished", 9, data)[:3])
	broken := split("broken", 8, data)
	broken[1].Data = append([]byte(nil), broken[1].Data...)
	broken[1].Data[0]++
	add(broken)
	add(split("older", 4, data[:10]))
	a.add([]byte("{"))
	g.Expect(a.revision).To(Equal(uint64(5)))
}

// applied counts how often an operation takes effect in the fold of the log.
func applied(l *fakeLog, operation string) int {
	f, n := resource.NewState(), 0
	for i, data := range l.streams[StreamConfig] {
		if res, fresh := f.Apply(uint64(i+1), data); fresh && res.Applied && res.Operation == operation {
			n++
		}
	}
	return n
}
