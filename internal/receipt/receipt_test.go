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

func TestAnotherBodyUnderOneKeyIsAConflict(t *testing.T) {
	g := NewWithT(t)
	b := NewStore(epoch)
	e, err := b.Reserve(epoch, "k", 1, window)
	g.Expect(err).To(BeNil())
	e.Complete(Result{Status: 200, Body: []byte("done")})
	_, err = b.Lookup(epoch, "k", 2)
	g.Expect(err.Code).To(Equal(fault.IdempotencyKeyConflict))
	same, err := b.Lookup(epoch, "k", 1)
	g.Expect(err).To(BeNil())
	g.Expect(same.Result.Body).To(Equal([]byte("done")))
	gone, _ := b.Lookup(epoch.Add(window), "k", 1)
	g.Expect(gone).To(BeNil())
	g.Expect(b.Len()).To(BeZero())
}

func TestABookHasABound(t *testing.T) {
	g := NewWithT(t)
	b := NewStore(epoch)
	for i := range MaxEntries {
		_, err := b.Reserve(epoch, fmt.Sprint(i), 1, window)
		g.Expect(err).To(BeNil())
	}
	_, err := b.Reserve(epoch, "one more", 1, window)
	g.Expect(err.Code).To(Equal(fault.RecordsFull))
	g.Expect(err.Outcome).To(Equal(fault.NotRun))
}

// model is a home and its witness with a log between them, any of which may
// fail. It counts the runs of one key.
type model struct {
	now                  time.Time
	home, witness        *Store
	homeLives            int
	log                  []string // keys claimed on the log
	logDown, witnessDown bool
	everStarted          bool
	runs                 int
	lastRun              time.Time
}

// restartHome starts the home agent anew, reading the log if it can.
func (m *model) restartHome() {
	m.home = NewStore(m.now)
	m.homeLives++
	m.recoverHome()
}

func (m *model) recoverHome() {
	if m.logDown {
		return
	}
	if !m.everStarted {
		m.home.SetFirstProcess(true)
	}
	m.everStarted = true
	for _, k := range m.log {
		m.home.AddLoggedClaim(m.now, k, 1, window)
	}
	m.home.SetLogRead()
}

// call is one call of the key at the home agent, crash says whether the home
// dies right after the start.
func (m *model) call(key string) {
	if !m.everStarted {
		return // no lease on the log yet: no keyed call is taken
	}
	e, _ := m.home.Lookup(m.now, key, 1)
	if e != nil {
		return
	}
	word := WitnessUnreachable
	if !m.witnessDown {
		c := m.witness.HandleClaim(m.now, &wire.ClaimRequest{Key: key, Holder: fmt.Sprint("home/", m.homeLives), Digest: 1, RetentionMS: window.Milliseconds()})
		word = map[wire.ClaimResult]WitnessReply{wire.ClaimGranted: WitnessGranted, wire.ClaimTaken: WitnessTaken,
			wire.ClaimNotReady: WitnessCannotVouch}[c.Result]
	}
	switch m.home.Decide(m.now, window, word, false) {
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
	m.lastRun = m.now
	e.Complete(Result{Status: 200})
}

// Home and witness crash, links and the log fail, in any order, and the caller
// repeats its key: within a window there is at most one run.
func TestAKeyRunsAtMostOnceWhateverFails(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{now: epoch}
		m.witness = NewStore(epoch)
		if rapid.Bool().Draw(t, "witness is new") {
			m.witness.SetFirstProcess(true)
		}
		m.restartHome()
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				m.restartHome()
			case 1: // a witness that restarts is not new any more
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
			if m.runs > 0 && m.now.Sub(m.lastRun) >= window {
				return // the key is out of its window
			}
			if m.runs > 1 {
				t.Fatalf("the key ran %d times", m.runs)
			}
		}
	})
}

// With one of home, witness and log failing, calls go on or are refused with a
// time to come back; a new deployment vouches from its first call.
func TestANewDeploymentVouchesAtOnce(t *testing.T) {
	g := NewWithT(t)
	m := &model{now: epoch, witness: NewStore(epoch)}
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
	g.Expect(m.runs).To(Equal(4), "a restarted home runs new keys on the word of its witness")
}
