package resource

import (
	"encoding/json"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/merlinpost/merlinpost/internal/fault"
)

const classSpec = `{"tier":%d,"max_wait_ms":1000,"max_run_ms":2000,"max_tokens":10}`

func record(op string, changes ...Change) []byte {
	data, _ := json.Marshal(Record{Operation: op, Actor: "test", Changes: changes})
	return data
}

func put(k Kind, name string, base uint64, spec string) Change {
	return Change{Verb: Put, Kind: k, Name: name, Base: base, Spec: json.RawMessage(spec)}
}

func mustApply(g *WithT, s *State, offset uint64, op string, changes ...Change) {
	res, fresh := s.Apply(offset, record(op, changes...))
	g.Expect(fresh).To(BeTrue())
	g.Expect(res.Err()).NotTo(HaveOccurred())
}

func TestConflictingChangeIsRejected(t *testing.T) {
	g := NewWithT(t)
	s := NewState()
	mustApply(g, s, 1, "op1", put(KindClass, "helpline", 0, fmt.Sprintf(classSpec, 0)))
	mustApply(g, s, 2, "op2", put(KindClass, "helpline", 1, fmt.Sprintf(classSpec, 1)))
	res, _ := s.Apply(3, record("op3", put(KindClass, "helpline", 1, fmt.Sprintf(classSpec, 2))))
	g.Expect(res.Code).To(Equal(fault.RevisionConflict))
	g.Expect(res.Winner).To(Equal("op2"))
	g.Expect(s.View().Classes["helpline"].Tier).To(Equal(1))
}

func TestRecordIsAppliedAtomically(t *testing.T) {
	g := NewWithT(t)
	s := NewState()
	mustApply(g, s, 1, "op1", put(KindClass, "a", 0, fmt.Sprintf(classSpec, 0)))
	before := s.View()
	res, _ := s.Apply(2, record("op2",
		put(KindClass, "b", 0, fmt.Sprintf(classSpec, 0)),
		Change{Verb: Delete, Kind: KindClass, Name: "a", Base: 1},
		put(KindModel, "m", 0, `{"pool":"none"}`)))
	g.Expect(res.Code).To(Equal(fault.InvalidConfig))
	g.Expect(res.Field).To(Equal("model/m.pool"))
	g.Expect(s.View().Classes).To(Equal(before.Classes))
	g.Expect(s.liveCount).To(Equal(1))
}

func TestReferencesAreChecked(t *testing.T) {
	g := NewWithT(t)
	s := NewState()
	pool := `{"servers":[{"name":"s1","agent":"127.0.0.1:1","failure_domain":"a"}]}`
	mustApply(g, s, 1, "op1", put(KindPool, "p", 0, pool), put(KindModel, "m", 0, `{"pool":"p"}`))
	res, _ := s.Apply(2, record("op2", Change{Verb: Delete, Kind: KindPool, Name: "p", Base: 1}))
	g.Expect(res.Code).To(Equal(fault.InUse))
	mustApply(g, s, 3, "op3", put(KindRollout, "r1", 0, `{"model":"m","version":"v2","share_percent":60}`))
	res, _ = s.Apply(4, record("op4", put(KindRollout, "r2", 0, `{"model":"m","version":"v3","share_percent":60}`)))
	g.Expect(res.Field).To(Equal("rollout/r2.share_percent"))
}

func TestSpecErrorsNameTheField(t *testing.T) {
	for name, c := range map[string]struct {
		kind  Kind
		spec  string
		field string
	}{
		"unknown field": {KindClass, `{"tier":0,"teir":1,"max_wait_ms":10,"max_run_ms":10,"max_tokens":1}`, "teir"},
		"ill-typed":     {KindClass, `{"tier":"top"}`, "tier"},
		"out of range":  {KindClass, `{"tier":9,"max_wait_ms":10,"max_run_ms":10,"max_tokens":1}`, "tier"},
		"nested":        {KindPool, `{"servers":[{"name":"s","agent":"host:1","failure_domain":"a"}]}`, "servers[0].agent"},
		"no key window": {KindService, `{"pool":"p","path":"/x"}`, "key_window_ms"},
		"top tier":      {KindClass, `{"tier":0,"preemptible":true,"max_wait_ms":10,"max_run_ms":10,"max_tokens":1}`, "preemptible"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := ParseSpec(c.kind, "x", []byte(c.spec))
			g.Expect(fault.Is(err, fault.InvalidConfig)).To(BeTrue(), "%v", err)
			g.Expect(fault.From(err).Field).To(Equal(c.field))
		})
	}
}

// randomRecord generates a record. Some are malformed, conflict with the state, repeat an
// operation or delete resources.
func randomRecord(t *rapid.T, revision uint64) []byte {
	if rapid.IntRange(0, 19).Draw(t, "malformed") == 0 {
		return []byte("{")
	}
	var changes []Change
	for range rapid.IntRange(1, 3).Draw(t, "changes") {
		name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
		base := rapid.Uint64Range(0, revision).Draw(t, "base")
		if rapid.IntRange(0, 3).Draw(t, "verb") == 0 {
			changes = append(changes, Change{Verb: Delete, Kind: KindClass, Name: name, Base: base})
		} else {
			changes = append(changes, put(KindClass, name, base, fmt.Sprintf(classSpec, rapid.IntRange(0, 6).Draw(t, "tier"))))
		}
	}
	return record(fmt.Sprintf("op%d", rapid.IntRange(0, 40).Draw(t, "op")), changes...)
}

// A state restored from a snapshot at any offset, with the later records applied,
// must equal the state after all records, even if records from before the snapshot
// are delivered again.
func TestSnapshotAndTailEqualTheWholeFold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		n := rapid.IntRange(1, 40).Draw(t, "records")
		cut := rapid.IntRange(0, n).Draw(t, "cut")
		whole, part := NewState(), NewState()
		var records [][]byte
		for i := range n {
			records = append(records, randomRecord(t, uint64(i)))
			whole.Apply(uint64(i+1), records[i])
		}
		for i := range cut {
			part.Apply(uint64(i+1), records[i])
		}
		encoded, err := part.Snapshot()
		g.Expect(err).NotTo(HaveOccurred())
		part, err = Restore(encoded)
		g.Expect(err).NotTo(HaveOccurred())
		for i := max(0, cut-3); i < n; i++ {
			before := part.Revision()
			part.Apply(uint64(i+1), records[i])
			g.Expect(part.Revision()).To(BeNumerically(">=", before))
		}
		a, _ := whole.Snapshot()
		b, _ := part.Snapshot()
		g.Expect(string(b)).To(Equal(string(a)))
		g.Expect(part.liveCount).To(Equal(whole.liveCount))
	})
}

func TestCheckLeavesStateUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewState()
		for i := range rapid.IntRange(0, 10).Draw(t, "records") {
			s.Apply(uint64(i+1), randomRecord(t, uint64(i)))
		}
		before, _ := s.Snapshot()
		var rec Record
		if json.Unmarshal(randomRecord(t, s.Revision()), &rec) == nil {
			checkErr := s.Check(rec)
			after, _ := s.Snapshot()
			NewWithT(t).Expect(string(after)).To(Equal(string(before)))
			if _, known := s.Operation(rec.Operation); !known {
				data, _ := json.Marshal(rec)
				res, _ := s.Apply(s.Revision()+1, data)
				NewWithT(t).Expect(res.Applied).To(Equal(checkErr == nil))
			}
		}
	})
}

func BenchmarkApply10000Resources(b *testing.B) {
	var records [][]byte
	for i := range 10000 {
		records = append(records, record(fmt.Sprint(i), put(KindClass, fmt.Sprintf("c%d", i), 0, fmt.Sprintf(classSpec, 1))))
	}
	b.ReportAllocs()
	for b.Loop() {
		s := NewState()
		for i, r := range records {
			s.Apply(uint64(i+1), r)
		}
		s.View()
	}
}
