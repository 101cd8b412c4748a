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

// cmdSetClass implements "setclass ROUTER CLASS [wait=1000] [match=REVISION] [status=200]":
// it writes a class through the operators' API and sets REVISION to the new revision.
func cmdSetClass(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 2, "setclass ROUTER CLASS [wait= match= status=]")
	s, o := scenarioOf(ts), parseOptions(ts, args[2:])
	match := ""
	if o["match"] != "" {
		match = `"` + o["match"] + `"`
	}
	status, revision, err := s.cluster.setClass(args[0], args[1], fmt.Sprintf(classSpec, intOption(ts, o, "wait", 1000)), match)
	ts.Check(err)
	if want := intOption(ts, o, "status", 200); status != want {
		ts.Fatalf("got status %d, want %d", status, want)
	}
	ts.Setenv("REVISION", fmt.Sprint(revision))
}

// cmdWaitRevision implements "waitrevision REVISION [NAME...]": it waits until
// the revision is in force in the named processes, by default in all routers and agents.
func cmdWaitRevision(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 1, "waitrevision REVISION [NAME...]")
	s := scenarioOf(ts)
	revision, err := strconv.ParseUint(args[0], 10, 64)
	ts.Check(err)
	names := args[1:]
	if len(names) == 0 {
		names = s.cluster.routersAndAgents()
	}
	took, err := s.cluster.waitRevision(names, revision)
	ts.Check(err)
	ts.Logf("revision %d in force in %d processes after %s", revision, len(names), took.Round(time.Millisecond))
}

// cmdOperator implements "operator ROUTER COMMAND...": it runs the command line
// client against a router. With ! the client must fail.
func cmdOperator(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, args, 2, "operator ROUTER COMMAND...")
	ts.Setenv("MERLINPOST_OPERATORS", scenarioOf(ts).cluster.operatorAddress(args[0]))
	ts.Setenv("MERLINPOST_OPERATOR_KEY", operatorKey)
	err := ts.Exec(filepath.Join(binDir, "merlinpost"), args[1:]...)
	if (err != nil) != neg {
		ts.Fatalf("unexpected result of the client: error %v", err)
	}
}

// cmdNotRun implements "notrun GROUP...": it checks that no engine executed a request that was
// answered with outcome not_run.
func cmdNotRun(ts *testscript.TestScript, _ bool, args []string) {
	s := scenarioOf(ts)
	executions, err := s.cluster.executionCounts()
	ts.Check(err)
	notRun := 0
	for _, name := range args {
		for _, o := range s.groups[name].results {
			if o.Outcome != "not_run" {
				continue
			}
			notRun++
			if executions[o.RequestID] > 0 {
				ts.Fatalf("request %s was answered with not_run but was executed", o.RequestID)
			}
		}
	}
	ts.Logf("%d requests were answered with not_run", notRun)
}

// cmdLogged implements "logged NAME TEXT": it waits until the log of a process contains the text.
func cmdLogged(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 2, "logged NAME TEXT")
	ts.Check(waitFor(args[0]+" logs "+args[1], func() error {
		data, err := os.ReadFile(filepath.Join(scenarioOf(ts).dir, args[0]+".log"))
		if err == nil && !strings.Contains(string(data), args[1]) {
			err = fmt.Errorf("text not found in its log")
		}
		return err
	}))
}

// cmdSnapshot implements "snapshot": it waits until the log holds a snapshot of the configuration.
func cmdSnapshot(ts *testscript.TestScript, _ bool, _ []string) {
	c := scenarioOf(ts).cluster
	ts.Check(waitFor("configuration snapshot in the log", func() error {
		var b configlog.Batch
		if err := c.getJSON("http://"+c.logAddress()+"/v1/streams/config-snapshots/records?from=1", &b); err != nil {
			return err
		}
		if len(b.Entries) == 0 {
			return fmt.Errorf("the snapshot stream is empty")
		}
		return nil
	}))
}

// cmdLogReachable implements "logreachable ROUTER...": it waits until the routers are connected to the log.
func cmdLogReachable(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		ts.Check(waitFor(name+" reaches the log", func() error {
			s, err := scenarioOf(ts).cluster.status(name)
			if err == nil && !s.LogUp {
				err = fmt.Errorf("log not reachable")
			}
			return err
		}))
	}
}
