package receipt

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/wire"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const window = time.Minute

func TestKeyWithDifferentBodyIsAConflict(t *testing.T) {
	g := NewWithT(t)
	s := NewStore(epoch)
	e, err := s.Reserve(epoch, "k", 1, window)
	g.Expect(err).To(BeNil())
	e.Complete(Result{Status: 200, Body: []byte("done")})
	_, err = s.Lookup(epoch, "k", 2)
	g.Expect(err.Code).To(Equal(fault.IdempotencyKeyConflict))
	same, err := s.Lookup(epoch, "k", 1)
	g.Expect(err).To(BeNil())
	g.Expect(same.Result.Body).To(Equal([]byte("done")))
	gone, _ := s.Lookup(epoch.Add(window), "k", 1)
	g.Expect(gone).To(BeNil())
	g.Expect(s.Len()).To(BeZero())
}

func TestStoreIsBounded(t *testing.T) {
	g := NewWithT(t)
	s := NewStore(epoch)
	for i := range MaxEntries {
		_, err := s.Reserve(epoch, fmt.Sprint(i), 1, window)
		g.Expect(err).To(BeNil())
	}
	_, err := s.Reserve(epoch, "one more", 1, window)
	g.Expect(err.Code).To(Equal(fault.IdempotencyStoreFull))
	g.Expect(err.Outcome).To(Equal(fault.NotRun))
}

// simulation is a home agent, its witness and the log, each of which may fail. It
// counts the runs of keys.
type simulation struct {
	now                  time.Time
	home, witness        *Store
	homeIncarnation      int
	log                  []string // keys claimed on the log
	logDown, witnessDown bool
	homeHadLease         bool
	runs                 int
	lastRunTime          time.Time
}

// restartHome restarts the home agent, which reads the log if it is available.
func (m *simulation) restartHome() {
	m.home = NewStore(m.now)
	m.homeIncarnation++
	m.recoverHome()
}

func (m *simulation) recoverHome() {
	if m.logDown {
		return
	}
	if !m.homeHadLease {
		m.home.SetFirstProcess(true)
	}
	m.homeHadLease = true
	for _, k := range m.log {
		m.home.AddLoggedClaim(m.now, k, 1, window)
	}
	m.home.SetLogRead()
}

// call makes one call with the key at the home agent. The call runs to its end if
// the home decides to start it.
func (m *simulation) call(key string) {
	if !m.homeHadLease {
		return // without a lease on the log no call with a key is accepted
	}
	e, _ := m.home.Lookup(m.now, key, 1)
	if e != nil {
		return
	}
	reply := WitnessUnreachable
	if !m.witnessDown {
		c := m.witness.HandleClaim(m.now, &wire.ClaimRequest{Key: key, Holder: fmt.Sprint("home/", m.homeIncarnation), Digest: 1, RetentionMS: window.Milliseconds()})
		reply = map[wire.ClaimResult]WitnessReply{wire.ClaimGranted: WitnessGranted, wire.ClaimTaken: WitnessTaken,
			wire.ClaimNotReady: WitnessNotReady}[c.Result]
	}
	switch m.home.Decide(m.now, window, reply, false) {
	case RunAfterLogging:
		if m.logDown {
			return
		}
		m.log = append(m.log, key)
	case Run:
	default:
		return
	}
	e, err := m.home.Reserve(m.now, key, 1, window)
	if err != nil {
		return
	}
	e.Phase = Running
	m.runs++
	m.lastRunTime = m.now
	e.Complete(Result{Status: 200})
}

// Checks that a key runs at most once within its window when home and witness
// restart, the witness or the log is unavailable, in any order, and the caller
// repeats the key.
func TestAKeyRunsAtMostOnceWhateverFails(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &simulation{now: epoch}
		m.witness = NewStore(epoch)
		if rapid.Bool().Draw(t, "witness in its first process") {
			m.witness.SetFirstProcess(true)
		}
		m.restartHome()
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				m.restartHome()
			case 1: // a restarted witness is not in its first process
				m.witness = NewStore(m.now)
			case 2:
				m.logDown = !m.logDown
				if !m.logDown {
					m.recoverHome()
				}
			case 3:
				m.witnessDown = !m.witnessDown
			case 4, 5:
				m.call("key")
			case 6:
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second)
			}
			if m.runs > 0 && m.now.Sub(m.lastRunTime) >= window {
				return // the window of the key has passed
			}
			if m.runs > 1 {
				t.Fatalf("the key ran %d times", m.runs)
			}
		}
	})
}

// Checks that a new deployment runs keys from its first call, and still does with
// the witness or the log unavailable or after a restart of the home agent.
func TestNewDeploymentRunsKeysAtOnce(t *testing.T) {
	g := NewWithT(t)
	m := &simulation{now: epoch, witness: NewStore(epoch)}
	m.witness.SetFirstProcess(true)
	m.restartHome()
	m.call("a")
	m.witnessDown = true
	m.call("b")
	m.witnessDown, m.logDown = false, true
	m.call("c")
	g.Expect(m.runs).To(Equal(3))
	m.logDown = false
	m.restartHome()
	m.call("d")
	g.Expect(m.runs).To(Equal(4), "a restarted home agent runs a new key that its witness granted")
}
