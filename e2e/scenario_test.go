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

// buildAndRun builds the programs without test instrumentation and runs the tests.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "merlinpost-e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binDir = dir
	build := exec.Command("go", "build", "-o", dir, "./cmd/...")
	build.Dir = ".."
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// TestScenarios runs the scripts in testdata/scripts, each with its own
// deployment. The functions whose names begin with cmd implement the commands of the scripts.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   filepath.Join("testdata", "scripts"),
		Setup: setupScenario,
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"cluster": cmdCluster, "chat": cmdChat, "collect": cmdCollect, "sigkill": cmdKill, "sigstop": cmdSignal(syscall.SIGSTOP),
			"sigcont": cmdSignal(syscall.SIGCONT), "sigterm": cmdSignal(syscall.SIGTERM), "restart": cmdRestart, "exited": cmdExited,
			"ready": cmdReady, "faults": cmdFaults, "setclass": cmdSetClass, "waitrevision": cmdWaitRevision, "call": cmdCall, "runs": cmdRuns,
			"operator": cmdOperator, "notrun": cmdNotRun, "running": cmdRunning, "logged": cmdLogged, "member": cmdMember,
			"newrouter": cmdNewRouter, "response": cmdResponse, "pause": cmdPause,
			"repeatcalls": cmdRepeatCalls, "logreachable": cmdLogReachable, "linkfault": cmdLinkFault,
			"loadreport": cmdLoadReport, "livepeers": cmdLivePeers, "cancel": cmdCancel, "idle": cmdIdle, "metric": cmdMetric, "slowclients": cmdSlowClients, "served": cmdServed,
			"secondagent": cmdSecondAgent, "fencingtokens": cmdFencingTokens, "loaded": cmdLoaded,
			"startcalls": cmdStartCalls, "waitcalls": cmdWaitCalls, "ranonce": cmdRanOnce, "snapshot": cmdSnapshot,
		},
	})
}

type scenarioKey struct{}

// scenario is the state of a running script.
type scenario struct {
	cluster  *cluster
	groups   map[string]*callerGroup
	lastCall requestResult
	dir      string
}

func setupScenario(env *testscript.Env) error {
	s := &scenario{groups: map[string]*callerGroup{}, dir: env.WorkDir}
	env.Values[scenarioKey{}] = s
	env.Setenv("PATH", binDir+string(os.PathListSeparator)+env.Getenv("PATH"))
	env.Defer(func() {
		if s.cluster != nil {
			s.cluster.close()
		}
	})
	return nil
}

func scenarioOf(ts *testscript.TestScript) *scenario { return ts.Value(scenarioKey{}).(*scenario) }

// parseOptions parses name=value arguments.
func parseOptions(ts *testscript.TestScript, args []string) map[string]string {
	out := map[string]string{}
	for _, a := range args {
		k, v, ok := strings.Cut(a, "=")
		if !ok {
			ts.Fatalf("argument %q is not of the form name=value", a)
		}
		out[k] = v
	}
	return out
}

func intOption(ts *testscript.TestScript, o map[string]string, name string, fallback int) int {
	if o[name] == "" {
		return fallback
	}
	n, err := strconv.Atoi(o[name])
	ts.Check(err)
	return n
}

func requireArgs(ts *testscript.TestScript, args []string, n int, usage string) {
	if len(args) < n {
		ts.Fatalf("usage: %s", usage)
	}
}

// cmdCluster implements "cluster routers=2 engines=3 services=2 slots=8 step=3ms fencing=true proxied=true":
// it starts a deployment.
func cmdCluster(ts *testscript.TestScript, _ bool, args []string) {
	o := parseOptions(ts, args)
	s := scenarioOf(ts)
	s.cluster = newCluster(s.dir, clusterConfig{Routers: intOption(ts, o, "routers", 1), Engines: intOption(ts, o, "engines", 2),
		Services: intOption(ts, o, "services", 0), Slots: intOption(ts, o, "slots", 16), TokenTime: o["step"], FailureDomains: intOption(ts, o, "domains", 2),
		KeyWindowMS: intOption(ts, o, "window", 0), Fencing: o["fencing"] == "true", Proxied: o["proxied"] == "true"})
	ts.Check(s.cluster.start())
	ts.Setenv("ROUTER", s.cluster.callerAddress("router-0"))
}

// cmdChat implements "chat GROUP [class=helpline] [n=200] [tokens=30] [router=router-0] [team=small]":
// it starts a group of callers in the background that send one chat request each.
func cmdChat(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 1, "chat GROUP [class= n= tokens= router= team=]")
	s, o := scenarioOf(ts), parseOptions(ts, args[1:])
	ctx, cancel := context.WithCancel(context.Background())
	group := &callerGroup{cluster: s.cluster, cancel: cancel}
	s.groups[args[0]] = group
	class := o["class"]
	if class == "" {
		class = "helpline"
	}
	var routers []string
	for i := range s.cluster.Routers {
		routers = append(routers, fmt.Sprint("router-", i))
	}
	if o["router"] != "" {
		routers = []string{o["router"]}
	}
	group.apiKey = teamKey
	if o["team"] == "small" {
		group.apiKey = smallTeamKey
	}
	group.start(ctx, args[0], class, intOption(ts, o, "n", 1), intOption(ts, o, "tokens", 20), routers)
}

// cmdCollect implements "collect GROUP [complete=N|all] [max=N]": it waits for the
// callers of a group and checks that no response contains wrong text and that the number of
// complete responses is at least complete (by default all) and at most max.
func cmdCollect(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 1, "collect GROUP [complete= max=]")
	s, o := scenarioOf(ts), parseOptions(ts, args[1:])
	group := s.groups[args[0]]
	group.wg.Wait()
	for _, err := range group.errs {
		ts.Logf("%v", err)
	}
	if len(group.errs) > 0 {
		ts.Fatalf("%d callers got a response with wrong text", len(group.errs))
	}
	want := len(group.results)
	if o["complete"] != "" && o["complete"] != "all" {
		want = intOption(ts, o, "complete", 0)
	}
	if limit := intOption(ts, o, "max", len(group.results)); group.completeCount() > limit {
		ts.Fatalf("%d responses are complete, want at most %d", group.completeCount(), limit)
	}
	if got := group.completeCount(); got < want {
		ts.Fatalf("%d of %d responses are complete, want %d; the others: %s", got, len(group.results), want, group.failureSummary())
	}
	ts.Logf("%s: %d of %d complete %s", args[0], group.completeCount(), len(group.results), group.failureSummary())
}

// cmdRunning implements "running n=N": it waits until the engines have begun to execute at
// least N requests since their last start.
func cmdRunning(ts *testscript.TestScript, _ bool, args []string) {
	s, o := scenarioOf(ts), parseOptions(ts, args)
	ts.Check(waitFor("requests begun by the engines", func() error {
		executions, err := s.cluster.executionCounts()
		if err != nil {
			return err
		}
		if len(executions) < intOption(ts, o, "n", 1) {
			return fmt.Errorf("the engines have begun %d requests", len(executions))
		}
		return nil
	}))
}

// cmdKill implements "sigkill NAME...": it kills processes and waits until they have exited.
func cmdKill(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		ts.Check(scenarioOf(ts).cluster.kill(name))
	}
}

// cmdSignal implements "sigstop NAME...", "sigcont NAME..." and "sigterm NAME...": it sends a signal to processes.
func cmdSignal(sig syscall.Signal) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		for _, name := range args {
			ts.Check(scenarioOf(ts).cluster.signal(name, sig))
		}
	}
}

// cmdRestart implements "restart NAME...": it starts processes that have exited again.
func cmdRestart(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		ts.Check(scenarioOf(ts).cluster.restart(name))
	}
}

// cmdExited implements "exited NAME...": it waits until the processes exit and checks for code 0.
func cmdExited(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		code, err := scenarioOf(ts).cluster.waitExit(name)
		ts.Check(err)
		if code != 0 {
			ts.Fatalf("%s exited with code %d", name, code)
		}
	}
}

// cmdReady implements "ready": it waits until the deployment is ready.
func cmdReady(ts *testscript.TestScript, _ bool, _ []string) {
	ts.Check(scenarioOf(ts).cluster.waitReady())
}

// cmdFaults implements "faults NAME JSON": it sets the faults that a stand-in simulates, such as {"down":true}.
func cmdFaults(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 2, "faults NAME JSON")
	ts.Check(scenarioOf(ts).cluster.setFaults(args[0], args[1]))
}

// cmdMember implements "member NAME STATE": it adds a backend server or a router
// to the membership list.
func cmdMember(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 2, "member NAME STATE")
	c := scenarioOf(ts).cluster
	role, address := "agent", c.address("agent-"+args[0])+":7300"
	if strings.HasPrefix(args[0], "router-") {
		role, address = "router", c.address(args[0])+":7400"
	}
	body := fmt.Sprintf(`{"name":%q,"role":%q,"address":%q,"state":%q}`, args[0], role, address, args[1])
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	status, _, data, err := c.request(ctx, "PUT", "http://"+c.membersAddress()+"/standin/members", nil, []byte(body))
	ts.Check(err)
	if status != 200 {
		ts.Fatalf("status %d: %s", status, data)
	}
}

// cmdNewRouter implements "newrouter N": it starts another router.
func cmdNewRouter(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 1, "newrouter N")
	n, err := strconv.Atoi(args[0])
	ts.Check(err)
	c := scenarioOf(ts).cluster
	ts.Check(c.startRouter(n, ""))
	c.Routers = max(c.Routers, n+1)
}

// cmdResponse implements "response TEXT": it checks that the response of the last call contains the
// text, or with ! that it does not.
func cmdResponse(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, args, 1, "response TEXT")
	if strings.Contains(scenarioOf(ts).lastCall.Text, args[0]) == neg {
		ts.Fatalf("unexpected response of the last call: %s", scenarioOf(ts).lastCall.Text)
	}
}

// cmdPause implements "pause DURATION". It determines how long an injected fault lasts. To wait
// for a result, use a command that polls for it.
func cmdPause(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 1, "pause DURATION")
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	<-time.After(d)
}

// cmdRepeatCalls implements "repeatcalls SERVICE NAME...": it repeats the call with key key-NAME and
// body "crate NAME". The response must be that of the first call, or the error cannot_vouch,
// which says that the call may have run.
func cmdRepeatCalls(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 2, "repeatcalls SERVICE NAME...")
	s := scenarioOf(ts)
	for _, name := range args[1:] {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		o := s.cluster.callService(ctx, "router-0", args[0], "key-"+name, "crate "+name)
		cancel()
		switch {
		case o.Err != nil:
			ts.Fatalf("call %s: %v", name, o.Err)
		case o.Status == 200 && !strings.Contains(o.Text, `"run":1`):
			ts.Fatalf("call %s: want the response of run 1, got %s", name, o.Text)
		case o.Status != 200 && o.Code != "cannot_vouch":
			ts.Fatalf("call %s: status %d, %s", name, o.Status, o.Text)
		}
		ts.Logf("key-%s: status %d, outcome %s, retry after %s", name, o.Status, o.Outcome, o.RetryAfter)
	}
}
