// Command review-2-cases plays the cases of the second review that are scripts. It starts gateways with the command
// of the deploy file, with stand-ins for the store, the workers and the consumers in its own process.
//
//	review-2-cases CASE RECORD
//
// It must be started in the root of the repository. It exits with 1 if the rule was broken, 0 if it held, and 2 if the
// case couldn't run. With TROUBLE=0 it does the same without the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
)

// Exit codes.
const exitHeld, exitBroken, exitNotRun = 0, 1, 2

// cases maps each case to the function that plays it and returns how the rule was broken, or an empty text.
var cases = map[string]func(rec *recorder, trouble bool) (broken string, err error){}

func main() { os.Exit(play(os.Args[1:])) }

func play(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2-cases CASE RECORD")
		return exitNotRun
	}
	rec, err := newRecorder(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	go endOnSignal()
	broken, err := cases[args[0]](rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.printf("the case couldn't run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case broken != "":
		rec.printf("broken: %s", broken)
		fmt.Println("broken:", broken)
		return exitBroken
	}
	rec.printf("held")
	fmt.Println("held")
	return exitHeld
}

// started holds the processes that were started, to end them if this one is told to end.
var started struct {
	mu        sync.Mutex
	processes []*os.Process
}

// endOnSignal kills the processes that were started when this one is told to end.
func endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	<-signals
	started.mu.Lock()
	defer started.mu.Unlock()
	for _, p := range started.processes {
		_ = p.Kill() // it may have ended
	}
	os.Exit(exitNotRun)
}
