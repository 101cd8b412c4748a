package e2e

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/merlinpost/merlinpost/internal/configlog"
)

const classSpec = `{"tier":2,"max_wait_ms":%d,"max_run_ms":60000,"max_tokens":100}`

// set router-0 extra wait=1000 [match=REV] [status=200]: an operator sets a class
func cmdSet(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 2, "set ROUTER CLASS [wait= match= status=]")
	s, o := state(ts), options(ts, args[2:])
	match := ""
	if o["match"] != "" {
		match = `"` + o["match"] + `"`
	}
	status, revision, err := s.c.setClass(args[0], args[1], fmt.Sprintf(classSpec, number(ts, o, "wait", 1000)), match)
	ts.Check(err)
	if want := number(ts, o, "status", 200); status != want {
		ts.Fatalf("status %d, %d wanted", status, want)
	}
	ts.Setenv("REVISION", fmt.Sprint(revision))
}

// inforce REVISION [NAME...]: the revision is in force in the processes named,
// or in all
func cmdInForce(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 1, "inforce REVISION [NAME...]")
	s := state(ts)
	revision, err := strconv.ParseUint(args[0], 10, 64)
	ts.Check(err)
	names := args[1:]
	if len(names) == 0 {
		names = s.c.everyone()
	}
	took, err := s.c.waitRevision(names, revision)
	ts.Check(err)
	ts.Logf("revision %d in %d processes after %s", revision, len(names), took.Round(time.Millisecond))
}

// operator ROUTER COMMAND...: the command line against a router; ! expects failure
func cmdOperator(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, args, 2, "operator ROUTER COMMAND...")
	ts.Setenv("MERLINPOST_OPERATORS", state(ts).c.operators(args[0]))
	ts.Setenv("MERLINPOST_OPERATOR_KEY", operatorKey)
	err := ts.Exec(filepath.Join(binaries, "merlinpost"), args[1:]...)
	if (err != nil) != neg {
		ts.Fatalf("command failed: %v", err)
	}
}

// untouched NAME: of the crowd, whoever was told not_run was not run
func cmdUntouched(ts *testscript.TestScript, _ bool, args []string) {
	s := state(ts)
	executions, err := s.c.executions()
	ts.Check(err)
	told := 0
	for _, name := range args {
		for _, o := range s.crowds[name].outcomes {
			if o.Outcome != "not_run" {
				continue
			}
			told++
			if executions[o.RequestID] > 0 {
				ts.Fatalf("request %s was told not run, and ran", o.RequestID)
			}
		}
	}
	ts.Logf("%d callers were told not run", told)
}

// noted NAME TEXT: a process's log has a line with the text
func cmdNoted(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 2, "noted NAME TEXT")
	ts.Check(eventually(args[0]+" notes "+args[1], func() error {
		data, err := os.ReadFile(filepath.Join(state(ts).dir, args[0]+".log"))
		if err == nil && !strings.Contains(string(data), args[1]) {
			err = fmt.Errorf("not in its log")
		}
		return err
	}))
}

// snapshot: a snapshot of the configuration is on the log
func cmdSnapshot(ts *testscript.TestScript, _ bool, _ []string) {
	c := state(ts).c
	ts.Check(eventually("a snapshot on the log", func() error {
		var b configlog.Batch
		if err := c.getJSON("http://"+c.logAddress()+"/v1/streams/config-snapshots/records?from=1", &b); err != nil {
			return err
		}
		if len(b.Entries) == 0 {
			return fmt.Errorf("none")
		}
		return nil
	}))
}

// reached ROUTER...: the routers reach the log again
func cmdReached(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		ts.Check(eventually(name+" reaches the log", func() error {
			s, err := state(ts).c.status(name)
			if err == nil && !s.LogUp {
				err = fmt.Errorf("not reached")
			}
			return err
		}))
	}
}
