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
	soakDuration = flag.Duration("soak", 0, "duration of the soak test; 0 skips it")
	soakSeed     = flag.Uint64("soak-seed", 1, "seed of the faults and requests of the soak test")
)

// soak injects random faults into a deployment of production size while callers check every response.
type soak struct {
	cluster *cluster
	rnd     *rand.Rand
	t       *testing.T

	mu         sync.Mutex
	counts     map[string]int
	violations []string
	notRun     []string       // IDs of requests answered with outcome not_run
	executed   map[string]int // executions by request ID, including those at engines that were killed later
	calls      int
}

// TestSoak runs the soak test for the duration given by -soak.
func TestSoak(t *testing.T) {
	if *soakDuration == 0 {
		t.Skip("run with -soak 10m")
	}
	s := &soak{t: t, rnd: rand.New(rand.NewPCG(*soakSeed, 0)), counts: map[string]int{}, executed: map[string]int{},
		cluster: newCluster(t.TempDir(), clusterConfig{Routers: 3, Engines: 12, Services: 4, FailureDomains: 4, Slots: 8, TokenTime: "5ms", KeyWindowMS: 3_600_000, Proxied: true})}
	defer s.cluster.close()
	if err := s.cluster.start(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), *soakDuration)
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
	s.checkExecutions()
	t.Logf("seed %d, %s: %v", *soakSeed, *soakDuration, s.counts)
	for _, v := range s.violations {
		t.Error(v)
	}
	t.Logf("%d violations", len(s.violations))
}

func (s *soak) addCount(what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[what]++
}

func (s *soak) addViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// responseTimeout is longer than any request of the soak test may take.
const responseTimeout = 90 * time.Second

// sendChatRequests sends the chat requests of one caller one after another until ctx ends.
func (s *soak) sendChatRequests(ctx context.Context, caller int) {
	rnd := rand.New(rand.NewPCG(*soakSeed, uint64(1000+caller)))
	for i := 0; ctx.Err() == nil; i++ {
		class := []string{"helpline", "helpline", "alert", "report"}[rnd.IntN(4)]
		tokens := 1 + rnd.IntN(60)
		if class == "report" {
			tokens *= 5
		}
		prompt := fmt.Sprintf("caller %d question %d of class %s", caller, i, class)
		callCtx, cancel := context.WithTimeout(context.Background(), responseTimeout)
		if rnd.IntN(20) == 0 { // the caller cancels early
			time.AfterFunc(time.Duration(rnd.IntN(200))*time.Millisecond, cancel)
		}
		o := s.cluster.sendChat(callCtx, fmt.Sprint("router-", rnd.IntN(s.cluster.Routers)), class, prompt, tokens)
		cancelled := callCtx.Err() == context.Canceled
		timedOut := callCtx.Err() == context.DeadlineExceeded
		cancel()
		if err := o.checkText(prompt, tokens); err != nil {
			s.addViolation("%v", err)
		}
		if timedOut {
			s.addViolation("request %s got no complete response or error within %s", o.RequestID, responseTimeout)
		}
		s.record("chat", o, cancelled)
		if !o.Complete {
			<-time.After(100 * time.Millisecond) // back off after an error
		}
	}
}

// record counts a result by its kind.
func (s *soak) record(kind string, o requestResult, cancelled bool) {
	switch {
	case cancelled:
		s.addCount(kind + " cancelled by the caller")
	case o.Complete:
		s.addCount(kind + " complete")
	case o.Err != nil && o.Status != 0:
		s.addCount(kind + " truncated because its router exited")
	case o.Err != nil:
		s.addCount(kind + " connection refused or lost")
	default:
		s.addCount(fmt.Sprintf("%s %s %s", kind, o.Code, o.Outcome))
	}
	if o.Outcome == fault.NotRun && o.RequestID != "" && kind == "chat" {
		s.mu.Lock()
		s.notRun = append(s.notRun, o.RequestID)
		s.mu.Unlock()
	}
}

// sendKeyedCalls makes the keyed calls of one caller one after another until ctx ends. It makes up to
// three attempts for each call.
func (s *soak) sendKeyedCalls(ctx context.Context, caller int) {
	rnd := rand.New(rand.NewPCG(*soakSeed, uint64(2000+caller)))
	for i := 0; ctx.Err() == nil; i++ {
		key := fmt.Sprintf("caller-%d-call-%d", caller, i)
		for range 3 {
			callCtx, cancel := context.WithTimeout(context.Background(), responseTimeout)
			o := s.cluster.callService(callCtx, fmt.Sprint("router-", rnd.IntN(s.cluster.Routers)), "receipts", key, "body of "+key)
			cancel()
			s.record("call", o, false)
			if o.Complete && !strings.Contains(o.Text, `"run":1`) {
				s.addViolation("call %s: want the response of run 1, got %s", key, o.Text)
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

// changeConfig updates a class periodically and checks that the revision that a router reports
// while it is ready never decreases, also across restarts.
func (s *soak) changeConfig(ctx context.Context) {
	newest := map[string]uint64{}
	for i := 0; ctx.Err() == nil; i++ {
		status, _, err := s.cluster.setClass(fmt.Sprint("router-", i%s.cluster.Routers), "extra", fmt.Sprintf(classSpec, 1000+i%1000), "")
		if err != nil {
			status = 0
		}
		s.addCount(fmt.Sprint("change status ", status))
		for r := range s.cluster.Routers {
			name := fmt.Sprint("router-", r)
			status, err := s.cluster.status(name)
			if err != nil || !status.Ready {
				continue // a starting router serves no requests until it is ready
			}
			if status.Revision < newest[name] {
				s.addViolation("%s is ready with revision %d after it reported revision %d; log reachable: %v", name, status.Revision, newest[name], status.LogUp)
			}
			newest[name] = status.Revision
		}
		<-time.After(500 * time.Millisecond)
	}
}

// injectFault injects one random fault and, if it lasts, removes it.
func (s *soak) injectFault(ctx context.Context) {
	engine := fmt.Sprint("engine-", s.rnd.IntN(s.cluster.Engines))
	service := fmt.Sprint("service-", s.rnd.IntN(s.cluster.Services))
	router := fmt.Sprint("router-", s.rnd.IntN(s.cluster.Routers))
	duration := time.Duration(200+s.rnd.IntN(3500)) * time.Millisecond
	pause := time.Duration(200+s.rnd.IntN(1500)) * time.Millisecond
	kinds := []string{"kill agent", "kill service agent", "kill engine", "kill router", "suspend agent", "suspend service agent", "suspend engine",
		"suspend router", "suspend log", "log down", "log loses answers", "log slow", "slow engine", "stop agent", "stop router",
		"blackholed link", "closed links", "blackholed service link", "blackholed engine calls", "kill failure domain"}
	kind := kinds[s.rnd.IntN(len(kinds))]
	s.addCount("fault: " + kind)
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
	case "suspend agent":
		err = s.suspend("agent-"+engine, duration)
	case "suspend service agent":
		err = s.suspend("agent-"+service, duration)
	case "suspend engine":
		err = s.suspend(engine, duration)
	case "suspend router":
		err = s.suspend(router, duration)
	case "suspend log":
		err = s.suspend("log", duration)
	case "log down":
		err = s.withFault("log", `{"down":true}`, duration)
	case "log loses answers":
		err = s.withFault("log", `{"lose_answers":true}`, duration)
	case "log slow":
		err = s.withFault("log", `{"slow_ms":300}`, duration)
	case "slow engine":
		err = s.withFault(engine, `{"slow":10}`, duration)
	case "stop agent":
		err = s.stopAndRestart("agent-" + engine)
	case "stop router":
		err = s.stopAndRestart(router)
	case "blackholed link":
		s.cluster.proxies[engine].blackhole(s.rnd.IntN(2) == 0, true)
	case "closed links":
		s.cluster.proxies[engine].closeAll()
	case "blackholed service link":
		s.cluster.proxies[service].blackhole(true, s.rnd.IntN(2) == 0)
	case "blackholed engine calls":
		s.cluster.proxies["server:"+engine].blackhole(true, true)
	case "kill failure domain":
		err = s.killFailureDomain()
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
	if err := s.cluster.kill(name); err != nil {
		return err
	}
	<-time.After(time.Duration(s.rnd.IntN(1500)) * time.Millisecond)
	return s.cluster.restart(name)
}

func (s *soak) stopAndRestart(name string) error {
	if err := s.cluster.signal(name, syscall.SIGTERM); err != nil {
		return err
	}
	code, err := s.cluster.waitExit(name)
	if err != nil {
		return err
	}
	if code != 0 {
		return fmt.Errorf("%s exited with code %d", name, code)
	}
	return s.cluster.restart(name)
}

func (s *soak) suspend(name string, d time.Duration) error {
	if err := s.cluster.signal(name, syscall.SIGSTOP); err != nil {
		return err
	}
	<-time.After(d)
	return s.cluster.signal(name, syscall.SIGCONT)
}

func (s *soak) withFault(name, faults string, d time.Duration) error {
	if err := s.cluster.setFaults(name, faults); err != nil {
		return err
	}
	<-time.After(d)
	return s.cluster.setFaults(name, "{}")
}

// killFailureDomain kills the agents of all engines in one failure domain at once and restarts them.
func (s *soak) killFailureDomain() error {
	failureDomain := s.rnd.IntN(s.cluster.FailureDomains)
	var names []string
	for i := failureDomain; i < s.cluster.Engines; i += s.cluster.FailureDomains {
		names = append(names, fmt.Sprint("agent-engine-", i))
	}
	for _, name := range names {
		if err := s.cluster.kill(name); err != nil {
			return err
		}
	}
	<-time.After(time.Second)
	for _, name := range names {
		if err := s.cluster.restart(name); err != nil {
			return err
		}
	}
	return nil
}

// saveExecutions saves the execution records of the engines, because an engine
// that is killed loses its records.
func (s *soak) saveExecutions() {
	executions, err := s.cluster.executionCounts()
	if err != nil {
		return // an engine does not respond; executions at the engine to be killed may remain unchecked
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, n := range executions {
		s.executed[id] = max(s.executed[id], n)
	}
}

// checkExecutions compares the responses that callers got with the execution records of the servers.
func (s *soak) checkExecutions() {
	if err := s.cluster.waitReady(); err != nil {
		s.addViolation("the deployment did not recover after the soak: %v", err)
		return
	}
	s.saveExecutions()
	for _, id := range s.notRun {
		if s.executed[id] > 0 {
			s.addViolation("request %s was answered with not_run but was executed", id)
		}
	}
	runs, err := s.cluster.runCounts()
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
