// Package cli is the command line of the two binaries: parsing by go-arg,
// signals, exit codes. What the commands do is in packages of their own.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"github.com/merlinpost/merlinpost/internal/fault"
)

// Exit codes of the binaries.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// OperatorFlags say which router an operator's command talks to.
type OperatorFlags struct {
	Operators string `arg:"--operators,env:MERLINPOST_OPERATORS" default:"127.0.0.1:8081" help:"IP address and port of a router's operators' API"`
	Key       string `arg:"--key,env:MERLINPOST_OPERATOR_KEY" default:"dev-operator" help:"operator's key"`
}

type arguments struct {
	Router    *routerCmd   `arg:"subcommand:router" help:"run a router"`
	Gateway   *gatewayCmd  `arg:"subcommand:gateway" help:"run a gateway on the platform, before backend servers without an agent"`
	Dev       *devCmd      `arg:"subcommand:dev" help:"run the whole path on embedded stand-ins"`
	Validate  *validateCmd `arg:"subcommand:validate" help:"check settings and resource files"`
	HashKey   *hashKeyCmd  `arg:"subcommand:hash-key" help:"print the hash under which a key is configured"`
	Apply     *applyCmd    `arg:"subcommand:apply" help:"apply a file of resources, whole or not at all"`
	Get       *getCmd      `arg:"subcommand:get" help:"show resources"`
	Delete    *deleteCmd   `arg:"subcommand:delete" help:"delete a resource"`
	Watch     *watchCmd    `arg:"subcommand:watch" help:"show changes of a kind as they take effect"`
	History   *historyCmd  `arg:"subcommand:history" help:"show the earlier contents of a resource"`
	Withdraw  *withdrawCmd `arg:"subcommand:withdraw" help:"put back an earlier content as a new change"`
	Operation *opCmd       `arg:"subcommand:operation" help:"show what became of an operation"`
	Status    *statusCmd   `arg:"subcommand:status" help:"show which process has which revision in force"`
	Load      *loadCmd     `arg:"subcommand:load" help:"run a load scenario and report"`
	Simulate  *simulateCmd `arg:"subcommand:simulate" help:"play a load against the placement of prompts, in simulated time"`
	Standin   *standinCmd  `arg:"subcommand:standin" help:"run a stand-in of an outside system"`
}

// Description implements go-arg's Described.
func (arguments) Description() string {
	return "merlinpost routes language-model traffic with service levels and priorities."
}

// runner is a command after parsing.
type runner interface {
	run(ctx context.Context, out io.Writer) error
}

func (a *arguments) command() runner {
	for _, c := range []struct {
		set bool
		run runner
	}{
		{a.Router != nil, a.Router}, {a.Gateway != nil, a.Gateway}, {a.Dev != nil, a.Dev}, {a.Validate != nil, a.Validate}, {a.HashKey != nil, a.HashKey},
		{a.Apply != nil, a.Apply}, {a.Get != nil, a.Get}, {a.Delete != nil, a.Delete}, {a.Watch != nil, a.Watch},
		{a.History != nil, a.History}, {a.Withdraw != nil, a.Withdraw}, {a.Operation != nil, a.Operation}, {a.Status != nil, a.Status},
		{a.Load != nil, a.Load}, {a.Simulate != nil, a.Simulate}, {a.Standin != nil, a.Standin},
	} {
		if c.set {
			return c.run
		}
	}
	return nil
}

// Main is the main function of merlinpost.
func Main(args []string, out, errOut io.Writer) int {
	var a arguments
	return parseAndRun(&a, "merlinpost", args, out, errOut, a.command)
}

// AgentMain is the main function of merlinpost-agent.
func AgentMain(args []string, out, errOut io.Writer) int {
	var a agentCmd
	return parseAndRun(&a, "merlinpost-agent", args, out, errOut, func() runner { return &a })
}

func parseAndRun(dest any, program string, args []string, out, errOut io.Writer, command func() runner) int {
	parser, err := arg.NewParser(arg.Config{Program: program, Out: out}, dest)
	if err != nil {
		return report(errOut, err)
	}
	switch err := parser.Parse(args); {
	case errors.Is(err, arg.ErrHelp):
		parser.WriteHelpForSubcommand(out, parser.SubcommandNames()...)
		return exitOK
	case err != nil:
		parser.WriteUsageForSubcommand(errOut, parser.SubcommandNames()...)
		_, _ = fmt.Fprintln(errOut, "error:", err)
		return exitUsage
	}
	c := command()
	if c == nil {
		parser.WriteHelp(errOut)
		return exitUsage
	}
	return report(errOut, c.run(context.Background(), out))
}

// report prints a failure with its type and returns the exit code.
func report(errOut io.Writer, err error) int {
	if err == nil {
		return exitOK
	}
	e := fault.From(err)
	text := e.Error()
	if e.Outcome != "" {
		text += fmt.Sprintf(" [outcome: %s]", e.Outcome)
	}
	_, _ = fmt.Fprintln(errOut, "error:", text)
	return exitFailed
}

// stopSignals returns a channel that is closed at the first SIGTERM or
// interrupt, and a context that ends at the second.
func stopSignals(ctx context.Context) (context.Context, <-chan struct{}) {
	ctx, cancel := context.WithCancel(ctx)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	stop := make(chan struct{})
	go func() {
		<-signals
		close(stop)
		<-signals
		cancel()
	}()
	return ctx, stop
}
