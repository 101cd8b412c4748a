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
	soakFor  = flag.Duration("soak", 0, "duration of the soak test; 0 skips it")
	soakSeed = flag.Uint64("soak-seed", 1, "seed of the failures and requests of the soak test")
)

// soak injects random failures into a deployment of the size of the Board's
// while callers check every response.
type soak struct {
	c   *cluster
	rnd *rand.Rand
	t   *testing.T

	mu         sync.Mutex
	counts     map[string]int
	violations []string
	notRun     []string       // IDs of requests answered with not_run
	executed   map[string]int // starts by request ID, including those at engines killed since
	calls      int
}

// TestSoak runs the soak test for the duration given by -soak.
func TestSoak(t *testing.T) {
	if *soakFor == 0 {
		t.Skip("run with -soak 10m")
	}
	s := &soak{t: t, rnd: rand.New(rand.NewPCG(*soakSeed, 0)), counts: map[string]int{}, executed: map[string]int{},
		c: newCluster(t.TempDir(), clusterSize{Routers: 3, Engines: 12, Services: 4, Domains: 4, Slots: 8, Step: "5ms", KeyWindowMS: 3_600_000, Proxied: true})}
	defer s.c.close()
	if err := s.c.start(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), *soakFor)
	defer cancel()
	var tasks sync.WaitGroup
	for i := range 40 {
		tasks.Go(func() { s.sendChatRequests(ctx, i) })
	}
	for i := range 8 {
		tasks.Go(func() { s.sendKeyedCalls(ctx, i) })
	}
	tasks.Go(func() { s.changeConfig(ctx) })
	for ctx.Err() == nil {
		s.injectFault(ctx)
	}
	tasks.Wait()
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

func (s *soak) addViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// answerTimeout exceeds the longest time that any request of the soak may take.
const answerTimeout = 90 * time.Second

// sendChatRequests sends chat requests one after another until ctx ends.
func (s *soak) sendChatRequests(ctx context.Context, caller int) {
	rnd := rand.New(rand.NewPCG(*soakSeed, uint64(1000+caller)))
	for i := 0; ctx.Err() == nil; i++ {
		class := []string{"helpline", "helpline", "alert", "report"}[rnd.IntN(4)]
		tokens := 1 + rnd.IntN(60)
		if class == "report" {
			tokens *= 5
		}
		prompt := fmt.Sprintf("caller %d question %d of class %s", caller, i, class)
		callCtx, cancel := context.WithTimeout(context.Background(), answerTimeout)
		if rnd.IntN(20) == 0 { // the caller cancels early
			time.AfterFunc(time.Duration(rnd.IntN(200))*time.Millisecond, cancel)
		}
		o := s.c.chat(callCtx, fmt.Sprint("router-", rnd.IntN(s.c.Routers)), class, prompt, tokens)
		cancelled := callCtx.Err() == context.Canceled
		timedOut := callCtx.Err() == context.DeadlineExceeded
		cancel()
		if err := o.check(prompt, tokens); err != nil {
			s.addViolation("%v", err)
		}
		if timedOut {
			s.addViolation("request %s got no complete response or error within %s", o.RequestID, answerTimeout)
		}
		s.record("chat", o, cancelled)
		if !o.Complete {
			<-time.After(100 * time.Millisecond) // back off after an error
		}
	}
}

func (s *soak) record(kind string, o outcome, cancelled bool) {
	switch {
	case cancelled:
		s.count(kind + " cancelled by the caller")
	case o.Complete:
		s.count(kind + " complete")
	case o.Err != nil && o.Status != 0:
		s.count(kind + " truncated because its router exited")
	case o.Err != nil:
		s.count(kind + " connection refused or lost")
	default:
		s.count(fmt.Sprintf("%s %s %s", kind, o.Code, o.Outcome))
	}
	if o.Outcome == fault.NotRun && o.RequestID != "" && kind == "chat" {
		s.mu.Lock()
		s.notRun = append(s.notRun, o.RequestID)
		s.mu.Unlock()
	}
}

// sendKeyedCalls makes keyed calls one after another until ctx ends. It tries
// each up to three times until the call succeeds.
func (s *soak) sendKeyedCalls(ctx context.Context, caller int) {
	rnd := rand.New(rand.NewPCG(*soakSeed, uint64(2000+caller)))
	for i := 0; ctx.Err() == nil; i++ {
		key := fmt.Sprintf("caller-%d-call-%d", caller, i)
		for range 3 {
			callCtx, cancel := context.WithTimeout(context.Background(), answerTimeout)
			o := s.c.call(callCtx, fmt.Sprint("router-", rnd.IntN(s.c.Routers)), "receipts", key, "body of "+key)
			cancel()
			s.record("call", o, false)
			if o.Complete && !strings.Contains(o.Text, `"run":1`) {
				s.addViolation("call %s: %s", key, o.Text)
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

// changeConfig updates a class periodically and checks that a ready router
// never reports an older revision than before, also across restarts.
func (s *soak) changeConfig(ctx context.Context) {
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
				continue // a starting router serves no requests until it is ready
			}
			if status.Revision < seen[name] {
				s.addViolation("%s is ready with revision %d after it reported revision %d; log reachable: %v", name, status.Revision, seen[name], status.LogUp)
			}
			seen[name] = status.Revision
		}
		<-time.After(500 * time.Millisecond)
	}
}

// injectFault injects one random failure and reverts it.
func (s *soak) injectFault(ctx context.Context) {
	engine := fmt.Sprint("engine-", s.rnd.IntN(s.c.Engines))
	service := fmt.Sprint("service-", s.rnd.IntN(s.c.Services))
	router := fmt.Sprint("router-", s.rnd.IntN(s.c.Routers))
	freeze := time.Duration(200+s.rnd.IntN(3500)) * time.Millisecond
	pause := time.Duration(200+s.rnd.IntN(1500)) * time.Millisecond
	kinds := []string{"kill agent", "kill service agent", "kill engine", "kill router", "freeze agent", "freeze service agent", "freeze engine",
		"freeze router", "freeze log", "log down", "log loses answers", "log slow", "slow engine", "stop agent", "stop router",
		"blackholed link", "closed links", "blackholed service link", "blackholed engine calls", "kill domain"}
	kind := kinds[s.rnd.IntN(len(kinds))]
	s.count("failure: " + kind)
	var err error
	switch kind {
	case "kill agent":
		err = s.killAndRestart("agent-" + engine)
	case "kill service agent":
		err = s.killAndRestart("agent-" + service)
	case "kill engine":
		s.saveExecutions()
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
	case "blackholed link":
		s.c.proxies[engine].blackhole(s.rnd.IntN(2) == 0, true)
	case "closed links":
		s.c.proxies[engine].closeAll()
	case "blackholed service link":
		s.c.proxies[service].blackhole(true, s.rnd.IntN(2) == 0)
	case "blackholed engine calls":
		s.c.proxies["server:"+engine].blackhole(true, true)
	case "kill domain":
		err = s.killDomain()
	}
	if err != nil {
		s.addViolation("%s: %v", kind, err)
	}
	select {
	case <-time.After(pause):
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
		return fmt.Errorf("%s exited with code %d", name, code)
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
	if err := s.c.setFaults(name, faults); err != nil {
		return err
	}
	<-time.After(d)
	return s.c.setFaults(name, "{}")
}

// killDomain kills the agents of all engines in one failure domain at once and restarts them.
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

// saveExecutions saves the execution records of the engines, because an engine
// that is killed loses its records.
func (s *soak) saveExecutions() {
	x, err := s.c.executions()
	if err != nil {
		return // another engine is frozen; executions at the engine to be killed may go unchecked
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, n := range x {
		s.executed[id] = max(s.executed[id], n)
	}
}

// check compares the responses that callers got with the execution records of the servers.
func (s *soak) check() {
	if err := s.c.waitReady(); err != nil {
		s.addViolation("the deployment did not recover after the soak: %v", err)
		return
	}
	s.saveExecutions()
	for _, id := range s.notRun {
		if s.executed[id] > 0 {
			s.addViolation("request %s was answered with not_run but was executed", id)
		}
	}
	runs, err := s.c.runs()
	if err != nil {
		s.addViolation("read the runs of the services: %v", err)
	}
	executed := 0
	for body, n := range runs {
		if n > 1 {
			s.addViolation("%q ran %d times", body, n)
		}
		executed++
	}
	s.counts["calls executed"] = executed
	s.counts["calls made"] = s.calls
}
