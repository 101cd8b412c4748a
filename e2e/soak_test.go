package e2e

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/merlinpost/merlinpost/internal/fault"
)

var (
	soakFor  = flag.Duration("soak", 0, "run the soak for this long")
	soakSeed = flag.Uint64("soak-seed", 1, "seed of the soak's failures and requests")
)

// soak is a random mix of failures over a Board-sized deployment while callers
// check every answer.
type soak struct {
	c   *cluster
	rnd *rand.Rand
	t   *testing.T

	mu         sync.Mutex
	counts     map[string]int
	violations []string
	notRun     []string       // ids told not run
	executed   map[string]int // starts at engines that were killed since
	calls      int
}

// TestSoak runs for -soak; without it, it is skipped.
func TestSoak(t *testing.T) {
	if *soakFor == 0 {
		t.Skip("run with -soak 10m")
	}
	s := &soak{t: t, rnd: rand.New(rand.NewPCG(*soakSeed, 0)), counts: map[string]int{}, executed: map[string]int{},
		c: newCluster(t.TempDir(), size{Routers: 3, Engines: 12, Services: 4, Domains: 4, Slots: 8, Step: "5ms", KeyWindowMS: 3_600_000, Proxied: true})}
	defer s.c.close()
	if err := s.c.start(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), *soakFor)
	defer cancel()
	var work sync.WaitGroup
	for i := range 40 {
		work.Go(func() { s.askAlways(ctx, i) })
	}
	for i := range 8 {
		work.Go(func() { s.callAlways(ctx, i) })
	}
	work.Go(func() { s.changeAlways(ctx) })
	for ctx.Err() == nil {
		s.disturb(ctx)
	}
	work.Wait()
	s.check()
	t.Logf("seed %d, %s: %v", *soakSeed, *soakFor, s.counts)
	for _, v := range s.violations {
		t.Error(v)
	}
	t.Logf("%d violations", len(s.violations))
}

func (s *soak) count(what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[what]++
}

func (s *soak) violate(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// answerLimit is above the longest time that a request may take here.
const answerLimit = 90 * time.Second

// askAlways asks one question after another.
func (s *soak) askAlways(ctx context.Context, caller int) {
	rnd := rand.New(rand.NewPCG(*soakSeed, uint64(1000+caller)))
	for i := 0; ctx.Err() == nil; i++ {
		class := []string{"helpline", "helpline", "alert", "report"}[rnd.IntN(4)]
		tokens := 1 + rnd.IntN(60)
		if class == "report" {
			tokens *= 5
		}
		prompt := fmt.Sprintf("caller %d question %d of class %s", caller, i, class)
		one, cancel := context.WithTimeout(context.Background(), answerLimit)
		if rnd.IntN(20) == 0 { // goes away in the middle
			time.AfterFunc(time.Duration(rnd.IntN(200))*time.Millisecond, cancel)
		}
		o := s.c.ask(one, fmt.Sprint("router-", rnd.IntN(s.c.Routers)), class, prompt, tokens)
		gone := one.Err() == context.Canceled
		late := one.Err() == context.DeadlineExceeded
		cancel()
		if err := o.check(prompt, tokens); err != nil {
			s.violate("%v", err)
		}
		if late {
			s.violate("request %s got no final answer within %s", o.RequestID, answerLimit)
		}
		s.take("ask", o, gone)
		if !o.Complete {
			<-time.After(100 * time.Millisecond) // a caller that was refused comes back later
		}
	}
}

func (s *soak) take(kind string, o outcome, gone bool) {
	switch {
	case gone:
		s.count(kind + " went away")
	case o.Complete:
		s.count(kind + " whole")
	case o.Err != nil && o.Status != 0:
		s.count(kind + " cut off by the end of its router")
	case o.Err != nil:
		s.count(kind + " not connected or connection lost")
	default:
		s.count(fmt.Sprintf("%s %s %s", kind, o.Code, o.Outcome))
	}
	if o.Outcome == fault.NotRun && o.RequestID != "" && kind == "ask" {
		s.mu.Lock()
		s.notRun = append(s.notRun, o.RequestID)
		s.mu.Unlock()
	}
}

// callAlways makes one keyed call after another and repeats each until it is
// answered, or three times.
func (s *soak) callAlways(ctx context.Context, caller int) {
	rnd := rand.New(rand.NewPCG(*soakSeed, uint64(2000+caller)))
	for i := 0; ctx.Err() == nil; i++ {
		key := fmt.Sprintf("caller-%d-call-%d", caller, i)
		for range 3 {
			one, cancel := context.WithTimeout(context.Background(), answerLimit)
			o := s.c.call(one, fmt.Sprint("router-", rnd.IntN(s.c.Routers)), "receipts", key, "body of "+key)
			cancel()
			s.take("call", o, false)
			if o.Complete && !strings.Contains(o.Text, `"run":1`) {
				s.violate("call %s: %s", key, o.Text)
			}
			if o.Complete {
				break
			}
			<-time.After(time.Duration(100+rnd.IntN(400)) * time.Millisecond)
		}
		s.mu.Lock()
		s.calls++
		s.mu.Unlock()
	}
}

// changeAlways changes a class now and then, as operators do, and checks that a
// router that is ready never shows an older revision than before, whether it
// is the same process or a restarted one.
func (s *soak) changeAlways(ctx context.Context) {
	seen := map[string]uint64{}
	for i := 0; ctx.Err() == nil; i++ {
		status, _, err := s.c.setClass(fmt.Sprint("router-", i%s.c.Routers), "extra", fmt.Sprintf(classSpec, 1000+i%1000), "")
		if err != nil {
			status = 0
		}
		s.count(fmt.Sprint("change status ", status))
		for r := range s.c.Routers {
			name := fmt.Sprint("router-", r)
			status, err := s.c.status(name)
			if err != nil || !status.Ready {
				continue // a process that starts serves nobody before it is ready
			}
			if status.Revision < seen[name] {
				s.violate("%s is ready with revision %d after %d, log reached: %v", name, status.Revision, seen[name], status.LogUp)
			}
			seen[name] = status.Revision
		}
		<-time.After(500 * time.Millisecond)
	}
}

// disturb acts out one random failure and lets it heal.
func (s *soak) disturb(ctx context.Context) {
	engine := fmt.Sprint("engine-", s.rnd.IntN(s.c.Engines))
	service := fmt.Sprint("service-", s.rnd.IntN(s.c.Services))
	router := fmt.Sprint("router-", s.rnd.IntN(s.c.Routers))
	freeze := time.Duration(200+s.rnd.IntN(3500)) * time.Millisecond
	rest := time.Duration(200+s.rnd.IntN(1500)) * time.Millisecond
	kinds := []string{"kill agent", "kill service agent", "kill engine", "kill router", "freeze agent", "freeze service agent", "freeze engine",
		"freeze router", "freeze log", "log down", "log loses answers", "log slow", "slow engine", "stop agent", "stop router",
		"silent link", "severed links", "silent service link", "silent engine calls", "domain"}
	kind := kinds[s.rnd.IntN(len(kinds))]
	s.count("failure: " + kind)
	var err error
	switch kind {
	case "kill agent":
		err = s.killAndRestart("agent-" + engine)
	case "kill service agent":
		err = s.killAndRestart("agent-" + service)
	case "kill engine":
		s.keepExecutions()
		err = s.killAndRestart(engine)
	case "kill router":
		err = s.killAndRestart(router)
	case "freeze agent":
		err = s.freeze("agent-"+engine, freeze)
	case "freeze service agent":
		err = s.freeze("agent-"+service, freeze)
	case "freeze engine":
		err = s.freeze(engine, freeze)
	case "freeze router":
		err = s.freeze(router, freeze)
	case "freeze log":
		err = s.freeze("log", freeze)
	case "log down":
		err = s.withFault("log", `{"down":true}`, freeze)
	case "log loses answers":
		err = s.withFault("log", `{"lose_answers":true}`, freeze)
	case "log slow":
		err = s.withFault("log", `{"slow_ms":300}`, freeze)
	case "slow engine":
		err = s.withFault(engine, `{"slow":10}`, freeze)
	case "stop agent":
		err = s.stopAndRestart("agent-" + engine)
	case "stop router":
		err = s.stopAndRestart(router)
	case "silent link":
		s.c.cutters[engine].silence(s.rnd.IntN(2) == 0, true)
	case "severed links":
		s.c.cutters[engine].sever()
	case "silent service link":
		s.c.cutters[service].silence(true, s.rnd.IntN(2) == 0)
	case "silent engine calls":
		s.c.cutters["server:"+engine].silence(true, true)
	case "domain":
		err = s.killDomain()
	}
	if err != nil {
		s.violate("%s: %v", kind, err)
	}
	select {
	case <-time.After(rest):
	case <-ctx.Done():
	}
}

func (s *soak) killAndRestart(name string) error {
	if err := s.c.kill(name); err != nil {
		return err
	}
	<-time.After(time.Duration(s.rnd.IntN(1500)) * time.Millisecond)
	return s.c.restart(name)
}

func (s *soak) stopAndRestart(name string) error {
	if err := s.c.signal(name, syscall.SIGTERM); err != nil {
		return err
	}
	code, err := s.c.waitExit(name)
	if err != nil {
		return err
	}
	if code != 0 {
		return fmt.Errorf("%s ended with code %d", name, code)
	}
	return s.c.restart(name)
}

func (s *soak) freeze(name string, d time.Duration) error {
	if err := s.c.signal(name, syscall.SIGSTOP); err != nil {
		return err
	}
	<-time.After(d)
	return s.c.signal(name, syscall.SIGCONT)
}

func (s *soak) withFault(name, faults string, d time.Duration) error {
	if err := s.c.faults(name, faults); err != nil {
		return err
	}
	<-time.After(d)
	return s.c.faults(name, "{}")
}

// killDomain kills the engines' agents of one failure domain at once.
func (s *soak) killDomain() error {
	domain := s.rnd.IntN(s.c.Domains)
	var names []string
	for i := domain; i < s.c.Engines; i += s.c.Domains {
		names = append(names, fmt.Sprint("agent-engine-", i))
	}
	for _, n := range names {
		if err := s.c.kill(n); err != nil {
			return err
		}
	}
	<-time.After(time.Second)
	for _, n := range names {
		if err := s.c.restart(n); err != nil {
			return err
		}
	}
	return nil
}

// keepExecutions remembers what the engines ran, before one loses its record.
func (s *soak) keepExecutions() {
	x, err := s.c.executions()
	if err != nil {
		return // another engine is frozen; the check is then weaker for this one
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, n := range x {
		s.executed[id] = max(s.executed[id], n)
	}
}

// check holds what callers were told against the records of the servers.
func (s *soak) check() {
	if err := s.c.waitReady(); err != nil {
		s.violate("after the end: %v", err)
		return
	}
	s.keepExecutions()
	for _, id := range s.notRun {
		if s.executed[id] > 0 {
			s.violate("request %s was told not run and ran", id)
		}
	}
	runs, err := s.c.runs()
	if err != nil {
		s.violate("runs: %v", err)
	}
	once := 0
	for body, n := range runs {
		if n > 1 {
			s.violate("%q ran %d times", body, n)
		}
		once++
	}
	s.counts["calls that ran"] = once
	s.counts["calls made"] = s.calls
}
