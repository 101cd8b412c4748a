package e2e

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the programs as they ship and runs the tests.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "merlinpost-e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binaries = dir
	build := exec.Command("go", "build", "-o", dir, "./cmd/...")
	build.Dir = ".."
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// TestScenarios runs the scripts in testdata/scripts. Their commands are in
// this file; each scenario has a deployment of its own.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   filepath.Join("testdata", "scripts"),
		Setup: setupScript,
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"cluster": cmdCluster, "ask": cmdAsk, "collect": cmdWait, "sigkill": cmdKill, "freeze": cmdSignal(syscall.SIGSTOP),
			"thaw": cmdSignal(syscall.SIGCONT), "sigterm": cmdSignal(syscall.SIGTERM), "restart": cmdRestart, "exited": cmdExited,
			"ready": cmdReady, "faults": cmdFaults, "set": cmdSet, "inforce": cmdInForce, "call": cmdCall, "runs": cmdRuns,
			"operator": cmdOperator, "untouched": cmdUntouched, "running": cmdRunning, "noted": cmdNoted, "member": cmdMember,
			"newrouter": cmdNewRouter, "got": cmdGot, "pause": cmdPause,
			"repeat": cmdRepeat, "reached": cmdReached, "cut": cmdCut,
			"reported": cmdReported, "peers": cmdPeers, "abandon": cmdAbandon, "idle": cmdIdle, "metric": cmdMetric, "slowclients": cmdSlowClients, "served": cmdServed,
			"secondagent": cmdSecondAgent, "fences": cmdFences, "loaded": cmdLoaded,
			"calls": cmdCalls, "callsdone": cmdCallsDone, "once": cmdOnce, "snapshot": cmdSnapshot,
		},
	})
}

type scriptKey struct{}

// script is the state of one scenario.
type script struct {
	c      *cluster
	crowds map[string]*crowd
	last   outcome
	dir    string
}

func setupScript(env *testscript.Env) error {
	s := &script{crowds: map[string]*crowd{}, dir: env.WorkDir}
	env.Values[scriptKey{}] = s
	env.Setenv("PATH", binaries+string(os.PathListSeparator)+env.Getenv("PATH"))
	env.Defer(func() {
		if s.c != nil {
			s.c.close()
		}
	})
	return nil
}

func state(ts *testscript.TestScript) *script { return ts.Value(scriptKey{}).(*script) }

// options reads name=value arguments.
func options(ts *testscript.TestScript, args []string) map[string]string {
	out := map[string]string{}
	for _, a := range args {
		k, v, ok := strings.Cut(a, "=")
		if !ok {
			ts.Fatalf("%q is not name=value", a)
		}
		out[k] = v
	}
	return out
}

func number(ts *testscript.TestScript, o map[string]string, name string, otherwise int) int {
	if o[name] == "" {
		return otherwise
	}
	n, err := strconv.Atoi(o[name])
	ts.Check(err)
	return n
}

func need(ts *testscript.TestScript, args []string, n int, usage string) {
	if len(args) < n {
		ts.Fatalf("usage: %s", usage)
	}
}

// cluster routers=2 engines=3 services=2 slots=8 step=3ms fencing=true
func cmdCluster(ts *testscript.TestScript, _ bool, args []string) {
	o := options(ts, args)
	s := state(ts)
	s.c = newCluster(s.dir, size{Routers: number(ts, o, "routers", 1), Engines: number(ts, o, "engines", 2),
		Services: number(ts, o, "services", 0), Slots: number(ts, o, "slots", 16), Step: o["step"], Domains: number(ts, o, "domains", 2),
		KeyWindowMS: number(ts, o, "window", 0), Fencing: o["fencing"] == "true", Proxied: o["cuts"] == "true"})
	ts.Check(s.c.start())
	ts.Setenv("ROUTER", s.c.callers("router-0"))
}

// ask NAME class=helpline n=200 tokens=30 router=router-0: callers in the background
func cmdAsk(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 1, "ask NAME [class= n= tokens= router=]")
	s, o := state(ts), options(ts, args[1:])
	ctx, cancel := context.WithCancel(context.Background())
	w := &crowd{c: s.c, cancel: cancel}
	s.crowds[args[0]] = w
	class := o["class"]
	if class == "" {
		class = "helpline"
	}
	var routers []string
	for i := range s.c.Routers {
		routers = append(routers, fmt.Sprint("router-", i))
	}
	if o["router"] != "" {
		routers = []string{o["router"]}
	}
	w.key = teamKey
	if o["team"] == "small" {
		w.key = smallTeamKey
	}
	w.ask(ctx, args[0], class, number(ts, o, "n", 1), number(ts, o, "tokens", 20), routers)
}

// collect NAME [whole=N|all]: the callers have ended; every answer
// was their own, and as many were whole.
func cmdWait(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 1, "collect NAME [whole=N]")
	s, o := state(ts), options(ts, args[1:])
	w := s.crowds[args[0]]
	w.wg.Wait()
	for _, err := range w.errs {
		ts.Logf("%v", err)
	}
	if len(w.errs) > 0 {
		ts.Fatalf("%d callers got a wrong answer", len(w.errs))
	}
	want := len(w.outcomes)
	if o["whole"] != "" && o["whole"] != "all" {
		want = number(ts, o, "whole", 0)
	}
	if most := number(ts, o, "most", len(w.outcomes)); w.whole() > most {
		ts.Fatalf("%d answers were whole, at most %d wanted", w.whole(), most)
	}
	if got := w.whole(); got < want {
		ts.Fatalf("%d of %d answers were whole, %d wanted; the others: %s", got, len(w.outcomes), want, w.failures())
	}
	ts.Logf("%s: %d of %d whole %s", args[0], w.whole(), len(w.outcomes), w.failures())
}

// running NAME: a caller of the crowd has begun to be served (its request runs
// at an engine).
func cmdRunning(ts *testscript.TestScript, _ bool, args []string) {
	s, o := state(ts), options(ts, args)
	ts.Check(eventually("requests run at the engines", func() error {
		x, err := s.c.executions()
		if err != nil {
			return err
		}
		if len(x) < number(ts, o, "n", 1) {
			return fmt.Errorf("%d run", len(x))
		}
		return nil
	}))
}

func cmdKill(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		ts.Check(state(ts).c.kill(name))
	}
}

func cmdSignal(sig syscall.Signal) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		for _, name := range args {
			ts.Check(state(ts).c.signal(name, sig))
		}
	}
}

func cmdRestart(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		ts.Check(state(ts).c.restart(name))
	}
}

// exited NAME...: the processes ended with code 0
func cmdExited(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		code, err := state(ts).c.waitExit(name)
		ts.Check(err)
		if code != 0 {
			ts.Fatalf("%s ended with code %d", name, code)
		}
	}
}

func cmdReady(ts *testscript.TestScript, _ bool, _ []string) { ts.Check(state(ts).c.waitReady()) }

// faults NAME '{"down":true}'
func cmdFaults(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 2, "faults NAME JSON")
	ts.Check(state(ts).c.faults(args[0], args[1]))
}

// member NAME STATE: the membership list gets an entry for an agent's backend
// server or a router
func cmdMember(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 2, "member NAME STATE")
	c := state(ts).c
	role, address := "agent", c.address("agent-"+args[0])+":7300"
	if strings.HasPrefix(args[0], "router-") {
		role, address = "router", c.address(args[0])+":7400"
	}
	body := fmt.Sprintf(`{"name":%q,"role":%q,"address":%q,"state":%q}`, args[0], role, address, args[1])
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	status, _, data, err := c.request(ctx, "PUT", "http://"+c.membersAddress()+"/standin/members", nil, []byte(body))
	ts.Check(err)
	if status != 200 {
		ts.Fatalf("status %d: %s", status, data)
	}
}

// newrouter N: one more router
func cmdNewRouter(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 1, "newrouter N")
	n, err := strconv.Atoi(args[0])
	ts.Check(err)
	c := state(ts).c
	ts.Check(c.startRouter(n, ""))
	c.Routers = max(c.Routers, n+1)
}

// got TEXT: the last call's answer contains the text
func cmdGot(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, args, 1, "got TEXT")
	if strings.Contains(state(ts).last.Text, args[0]) == neg {
		ts.Fatalf("the answer was %s", state(ts).last.Text)
	}
}

// pause DURATION: time passes while a process is frozen or cut off; it is part
// of the failure that is acted out, not a wait for a result
func cmdPause(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 1, "pause DURATION")
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	<-time.After(d)
}

// repeat SERVICE NAME...: calls key-NAME with body "crate NAME" again; whatever
// the answer, it says nothing wrong: the first answer, or that it may have run
func cmdRepeat(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 2, "repeat SERVICE NAME...")
	s := state(ts)
	for _, name := range args[1:] {
		ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
		o := s.c.call(ctx, "router-0", args[0], "key-"+name, "crate "+name)
		cancel()
		switch {
		case o.Err != nil:
			ts.Fatalf("call %s: %v", name, o.Err)
		case o.Status == 200 && !strings.Contains(o.Text, `"run":1`):
			ts.Fatalf("call %s: %s", name, o.Text)
		case o.Status != 200 && o.Code != "cannot_vouch":
			ts.Fatalf("call %s: status %d, %s", name, o.Status, o.Text)
		}
		ts.Logf("key-%s: status %d, outcome %s, retry after %s", name, o.Status, o.Outcome, o.RetryAfter)
	}
}
