package e2e

import (
	"context"
	"fmt"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

// call ROUTER SERVICE KEY BODY [status=200] [code=...] [outcome=...]; KEY may be -
func cmdCall(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 4, "call ROUTER SERVICE KEY BODY [status= code= outcome=]")
	s, o := state(ts), options(ts, args[4:])
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	key := args[2]
	if key == "-" {
		key = ""
	}
	s.last = s.c.call(ctx, args[0], args[1], key, args[3])
	if s.last.Err != nil {
		ts.Fatalf("call: %v", s.last.Err)
	}
	if want := number(ts, o, "status", 200); s.last.Status != want {
		ts.Fatalf("status %d, %d wanted: %s", s.last.Status, want, s.last.Text)
	}
	if o["code"] != "" && string(s.last.Code) != o["code"] {
		ts.Fatalf("code %s, %s wanted", s.last.Code, o["code"])
	}
	if o["outcome"] != "" && string(s.last.Outcome) != o["outcome"] {
		ts.Fatalf("outcome %s, %s wanted", s.last.Outcome, o["outcome"])
	}
}

// runs BODY N: the plain services ran the body so often
func cmdRuns(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 2, "runs BODY N")
	runs, err := state(ts).c.runs()
	ts.Check(err)
	if fmt.Sprint(runs[args[0]]) != args[1] {
		ts.Fatalf("%q ran %d times", args[0], runs[args[0]])
	}
}

// calls SERVICE n=12: keyed calls in the background, over all routers in turn;
// the same call uses the same key and body each time
func cmdCalls(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 1, "calls SERVICE [n=]")
	s, o := state(ts), options(ts, args[1:])
	w := &crowd{c: s.c}
	s.crowds["calls"] = w
	for i := range number(ts, o, "n", 1) {
		w.wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
			defer cancel()
			got := s.c.call(ctx, fmt.Sprint("router-", i%s.c.Routers), args[0], fmt.Sprint("cut-", i), fmt.Sprint("crate ", i))
			w.add(got, nil)
		})
	}
}

// callsdone: every call was answered, whole or with a typed fault
func cmdCallsDone(ts *testscript.TestScript, _ bool, _ []string) {
	w := state(ts).crowds["calls"]
	w.wg.Wait()
	for _, o := range w.outcomes {
		if o.Err != nil || (!o.Complete && o.Code == "") {
			ts.Fatalf("a call got no answer: %+v", o)
		}
		if o.Complete && !strings.Contains(o.Text, `"run":1`) {
			ts.Fatalf("a call ran again: %s", o.Text)
		}
	}
	ts.Logf("%d of %d whole; the others: %s", w.whole(), len(w.outcomes), w.failures())
}

// once SERVICE n=12: no call of that crowd ran more than once
func cmdOnce(ts *testscript.TestScript, _ bool, args []string) {
	s, o := state(ts), options(ts, args[1:])
	runs, err := s.c.runs()
	ts.Check(err)
	for i := range number(ts, o, "n", 1) {
		if n := runs[fmt.Sprint("crate ", i)]; n > 1 {
			ts.Fatalf("crate %d ran %d times", i, n)
		}
	}
}
