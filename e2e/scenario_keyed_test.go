package e2e

import (
	"context"
	"fmt"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

// cmdCall implements "call ROUTER SERVICE KEY BODY [status=200] [code=CODE] [outcome=OUTCOME]":
// it calls a service and checks the response. If KEY is -, it sends no
// idempotency key.
func cmdCall(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 4, "call ROUTER SERVICE KEY BODY [status= code= outcome=]")
	s, o := scenarioOf(ts), parseOptions(ts, args[4:])
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	key := args[2]
	if key == "-" {
		key = ""
	}
	s.lastCall = s.cluster.callService(ctx, args[0], args[1], key, args[3])
	if s.lastCall.Err != nil {
		ts.Fatalf("call: %v", s.lastCall.Err)
	}
	if want := intOption(ts, o, "status", 200); s.lastCall.Status != want {
		ts.Fatalf("got status %d, want %d: %s", s.lastCall.Status, want, s.lastCall.Text)
	}
	if o["code"] != "" && string(s.lastCall.Code) != o["code"] {
		ts.Fatalf("got code %s, want %s", s.lastCall.Code, o["code"])
	}
	if o["outcome"] != "" && string(s.lastCall.Outcome) != o["outcome"] {
		ts.Fatalf("got outcome %s, want %s", s.lastCall.Outcome, o["outcome"])
	}
}

// cmdRuns implements "runs BODY N": it checks that the services ran calls with this body exactly N times.
func cmdRuns(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 2, "runs BODY N")
	runs, err := scenarioOf(ts).cluster.runCounts()
	ts.Check(err)
	if fmt.Sprint(runs[args[0]]) != args[1] {
		ts.Fatalf("%q ran %d times, want %s", args[0], runs[args[0]], args[1])
	}
}

// cmdStartCalls implements "startcalls SERVICE n=12": it makes keyed calls in the
// background, through all routers in turn. Each use of the command repeats the
// same keys and bodies.
func cmdStartCalls(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 1, "startcalls SERVICE [n=]")
	s, o := scenarioOf(ts), parseOptions(ts, args[1:])
	group := &callerGroup{cluster: s.cluster}
	s.groups["calls"] = group
	for i := range intOption(ts, o, "n", 1) {
		group.wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
			defer cancel()
			result := s.cluster.callService(ctx, fmt.Sprint("router-", i%s.cluster.Routers), args[0], fmt.Sprint("cut-", i), fmt.Sprint("crate ", i))
			group.add(result, nil)
		})
	}
}

// cmdWaitCalls implements "waitcalls": it waits for the calls of startcalls and checks
// that each got a complete response or an error code.
func cmdWaitCalls(ts *testscript.TestScript, _ bool, _ []string) {
	group := scenarioOf(ts).groups["calls"]
	group.wg.Wait()
	for _, o := range group.results {
		if o.Err != nil || (!o.Complete && o.Code == "") {
			ts.Fatalf("a call got neither a response nor an error code: %+v", o)
		}
		if o.Complete && !strings.Contains(o.Text, `"run":1`) {
			ts.Fatalf("a call ran more than once: %s", o.Text)
		}
	}
	ts.Logf("%d of %d complete; the others: %s", group.completeCount(), len(group.results), group.failureSummary())
}

// cmdRanOnce implements "ranonce SERVICE n=12": it checks that no call made by startcalls ran more than once.
func cmdRanOnce(ts *testscript.TestScript, _ bool, args []string) {
	s, o := scenarioOf(ts), parseOptions(ts, args[1:])
	runs, err := s.cluster.runCounts()
	ts.Check(err)
	for i := range intOption(ts, o, "n", 1) {
		if n := runs[fmt.Sprint("crate ", i)]; n > 1 {
			ts.Fatalf("crate %d ran %d times", i, n)
		}
	}
}
