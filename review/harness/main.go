// Command harness runs one case of the review: it starts gateways as separate processes, with stand-ins
// for the platform's store, the workers and the consumers, and checks one rule from what these see.
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxDuration limits a case; one may take 120 seconds.
const maxDuration = 112 * time.Second

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases maps the name of each case to the function that runs it. The function returns whether the rule held.
var cases = map[string]func(*deployment) (bool, error){
	"extra-answer":   runExtraAnswer,
	"leaving-worker": runLeavingWorker,
	"reset-answer":   runResetAnswer,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "stream-worker" {
		os.Exit(runStreamWorker(os.Args[2:]))
	}
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/merlinpost", "program under test")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "whether the disruption takes place")
	flag.Parse()
	run := cases[*name]
	if run == nil {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", *name)
		os.Exit(exitFailed)
	}
	d, err := newDeployment(*program, *record, *trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot set up the case:", err)
		os.Exit(exitFailed)
	}
	// The processes of the case must not outlive it, whatever ends it.
	time.AfterFunc(maxDuration, func() { d.abort("the case took too long") })
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		d.abort("interrupted")
	}()
	held, err := run(d)
	d.close()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(exitFailed)
	case !held:
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}
