// Package cli implements the command lines of merlinpost and merlinpost-agent:
// argument parsing, signals, output and exit codes. The work of the commands is
// implemented in other packages.
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

// OperatorFlags are the flags of all commands that call the operator API.
type OperatorFlags struct {
	Operators string `arg:"--operators,env:MERLINPOST_OPERATORS" default:"127.0.0.1:8081" help:"IP address and port of a router's operator API"`
	Key       string `arg:"--key,env:MERLINPOST_OPERATOR_KEY" default:"dev-operator" help:"operator key"`
}

type arguments struct {
	Router    *routerCmd    `arg:"subcommand:router" help:"run a router"`
	Gateway   *gatewayCmd   `arg:"subcommand:gateway" help:"run a gateway on the platform, in front of backend servers without an agent"`
	Dev       *devCmd       `arg:"subcommand:dev" help:"run a complete deployment in one process, with stand-ins for the external systems"`
	Validate  *validateCmd  `arg:"subcommand:validate" help:"validate settings and resource files"`
	HashKey   *hashKeyCmd   `arg:"subcommand:hash-key" help:"print the SHA-256 hash of a key, as it is used in the configuration"`
	Apply     *applyCmd     `arg:"subcommand:apply" help:"apply the resources of a file atomically"`
	Get       *getCmd       `arg:"subcommand:get" help:"show resources"`
	Delete    *deleteCmd    `arg:"subcommand:delete" help:"delete a resource"`
	Watch     *watchCmd     `arg:"subcommand:watch" help:"show changes to resources of a kind as they take effect"`
	History   *historyCmd   `arg:"subcommand:history" help:"show the versions of a resource"`
	Withdraw  *withdrawCmd  `arg:"subcommand:withdraw" help:"restore an earlier version of a resource as a new change"`
	Operation *operationCmd `arg:"subcommand:operation" help:"show the result of an operation"`
	Status    *statusCmd    `arg:"subcommand:status" help:"show the status of the processes and their configuration revisions"`
	Load      *loadCmd      `arg:"subcommand:load" help:"run a load scenario and report the results"`
	Simulate  *simulateCmd  `arg:"subcommand:simulate" help:"simulate the scheduling of prompts under load"`
	Standin   *standinCmd   `arg:"subcommand:standin" help:"run a stand-in for an external system"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "merlinpost routes language-model traffic with service levels and priorities."
}

// command is a parsed command.
type command interface {
	run(ctx context.Context, out io.Writer) error
}

// selectedCommand returns the subcommand that was given, or nil.
func (a *arguments) selectedCommand() command {
	for _, c := range []struct {
		selected bool
		command  command
	}{
		{a.Router != nil, a.Router}, {a.Gateway != nil, a.Gateway}, {a.Dev != nil, a.Dev}, {a.Validate != nil, a.Validate}, {a.HashKey != nil, a.HashKey},
		{a.Apply != nil, a.Apply}, {a.Get != nil, a.Get}, {a.Delete != nil, a.Delete}, {a.Watch != nil, a.Watch},
		{a.History != nil, a.History}, {a.Withdraw != nil, a.Withdraw}, {a.Operation != nil, a.Operation}, {a.Status != nil, a.Status},
		{a.Load != nil, a.Load}, {a.Simulate != nil, a.Simulate}, {a.Standin != nil, a.Standin},
	} {
		if c.selected {
			return c.command
		}
	}
	return nil
}

// Main runs merlinpost with the given arguments and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	var a arguments
	return parseAndRun(&a, "merlinpost", args, out, errOut, a.selectedCommand)
}

// AgentMain runs merlinpost-agent with the given arguments and returns its exit
// code.
func AgentMain(args []string, out, errOut io.Writer) int {
	var a agentCmd
	return parseAndRun(&a, "merlinpost-agent", args, out, errOut, func() command { return &a })
}

// parseAndRun parses args into dest, runs the command that selected returns and
// returns the exit code.
func parseAndRun(dest any, program string, args []string, out, errOut io.Writer, selected func() command) int {
	parser, err := arg.NewParser(arg.Config{Program: program, Out: out}, dest)
	if err != nil {
		return reportError(errOut, err)
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
	c := selected()
	if c == nil {
		parser.WriteHelp(errOut)
		return exitUsage
	}
	return reportError(errOut, c.run(context.Background(), out))
}

// reportError prints err with its code and outcome and returns the exit code. A nil
// err is a success.
func reportError(errOut io.Writer, err error) int {
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

// notifyStop returns a channel that is closed at the first SIGTERM or SIGINT, to start a graceful shutdown, and a context
// that is cancelled at the next SIGINT. Further SIGTERMs do not shorten the shutdown, because process managers may repeat
// them.
func notifyStop(ctx context.Context) (context.Context, <-chan struct{}) {
	ctx, cancel := context.WithCancel(ctx)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	stop := make(chan struct{})
	go func() {
		<-signals
		close(stop)
		for s := range signals {
			if s == os.Interrupt {
				cancel()
			}
		}
	}()
	return ctx, stop
}
