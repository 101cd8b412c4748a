package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/membership"
	"github.com/merlinpost/merlinpost/internal/standin"
	"github.com/merlinpost/merlinpost/internal/standin/engine"
	"github.com/merlinpost/merlinpost/internal/standin/logservice"
	"github.com/merlinpost/merlinpost/internal/standin/members"
	"github.com/merlinpost/merlinpost/internal/standin/plain"
	"github.com/merlinpost/merlinpost/internal/standin/weights"
)

type standinCmd struct {
	Log     *standinLogCmd     `arg:"subcommand:log" help:"the append-only log service"`
	Members *standinMembersCmd `arg:"subcommand:members" help:"the membership list"`
	Weights *standinWeightsCmd `arg:"subcommand:weights" help:"the weight store"`
	Engine  *standinEngineCmd  `arg:"subcommand:engine" help:"a model engine"`
	Service *standinServiceCmd `arg:"subcommand:service" help:"a plain service"`
}

func (c *standinCmd) run(ctx context.Context, out io.Writer) error {
	switch {
	case c.Log != nil:
		return c.Log.run(ctx, out)
	case c.Members != nil:
		return c.Members.run(ctx, out)
	case c.Weights != nil:
		return c.Weights.run(ctx, out)
	case c.Engine != nil:
		return c.Engine.run(ctx, out)
	case c.Service != nil:
		return c.Service.run(ctx, out)
	}
	return fault.New(fault.BadRequest, "no stand-in given; use log, members, weights, engine or service")
}

// serveUntilStopped serves a stand-in at an address, prints the address that it
// listens on and returns at the first stop signal.
func serveUntilStopped(ctx context.Context, out io.Writer, address string, h http.Handler) error {
	ctx, stop := notifyStop(ctx)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	actual, err := standin.Serve(ctx, address, h)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintln(out, actual); err != nil {
		return err
	}
	select {
	case <-stop:
	case <-ctx.Done():
	}
	return nil
}

type standinLogCmd struct {
	Listen string `arg:"--listen" default:"127.0.0.1:7000"`
	File   string `arg:"--file" help:"store the records in this file, to keep them across restarts"`
}

func (c *standinLogCmd) run(ctx context.Context, out io.Writer) error {
	s, err := logservice.Open(c.File)
	if err != nil {
		return err
	}
	return serveUntilStopped(ctx, out, c.Listen, s.Handler())
}

type standinMembersCmd struct {
	Listen  string        `arg:"--listen" default:"127.0.0.1:7001"`
	Lag     time.Duration `arg:"--lag" default:"1s" help:"delay until changes are visible"`
	Members []string      `arg:"--member,separate" help:"initial live member as role,name,address; repeat for several"`
}

func (c *standinMembersCmd) run(ctx context.Context, out io.Writer) error {
	memberList := members.New(c.Lag)
	for _, m := range c.Members {
		role, rest, _ := strings.Cut(m, ",")
		name, address, ok := strings.Cut(rest, ",")
		if !ok {
			return fault.New(fault.BadRequest, "member %q does not have the form role,name,address", m).WithField("--member")
		}
		memberList.Set(membership.Member{Name: name, Role: role, Address: address, State: membership.StateLive}, false)
	}
	return serveUntilStopped(ctx, out, c.Listen, memberList.Handler())
}

type standinWeightsCmd struct {
	Listen string `arg:"--listen" default:"127.0.0.1:7002"`
	Size   int    `arg:"--size" default:"4000000" help:"size of each model's weights in bytes"`
	Rate   int    `arg:"--rate" default:"8000000" help:"bytes per second, for all readers together"`
}

func (c *standinWeightsCmd) run(ctx context.Context, out io.Writer) error {
	return serveUntilStopped(ctx, out, c.Listen, weights.New(c.Size, c.Rate).Handler())
}

type standinEngineCmd struct {
	Listen          string        `arg:"--listen" default:"127.0.0.1:7100"`
	Name            string        `arg:"--name" default:"engine"`
	Step            time.Duration `arg:"--step" default:"3ms" help:"duration of a decoding step"`
	StepPerSequence time.Duration `arg:"--step-per-sequence" default:"20us" help:"time that each running sequence adds to a step"`
	PrefillPerBlock time.Duration `arg:"--prefill" default:"500us" help:"time to prefill a block of 16 words"`
	Batch           int           `arg:"--batch" default:"16" help:"maximum number of sequences running at once"`
	Cache           int           `arg:"--cache" default:"4096" help:"size of the prefix cache in blocks"`
	Fencing         bool          `arg:"--fencing" help:"reject orders with an outdated fencing token"`
	ReportLag       time.Duration `arg:"--report-lag" default:"1s" help:"age of load reports and cache events"`
	EventLoss       float64       `arg:"--event-loss" default:"0.05" help:"fraction of cache events that are lost"`
	Weights         string        `arg:"--weights" help:"address of the weight store"`
	Loaded          []string      `arg:"--loaded,separate" help:"target that is loaded at the start; repeat for several"`
	Seed            uint64        `arg:"--seed" default:"1"`
}

func (c *standinEngineCmd) run(ctx context.Context, out io.Writer) error {
	e := engine.New(engine.Config{Name: c.Name, Step: c.Step, StepPerSeq: c.StepPerSequence, PrefillPerBlock: c.PrefillPerBlock, MaxBatch: c.Batch,
		CacheBlocks: c.Cache, Fencing: c.Fencing, ReportLag: c.ReportLag, EventLossRate: c.EventLoss, WeightsAddress: c.Weights, LoadedModels: c.Loaded, Seed: c.Seed})
	go e.Run(ctx)
	return serveUntilStopped(ctx, out, c.Listen, e.Handler())
}

type standinServiceCmd struct {
	Listen string `arg:"--listen" default:"127.0.0.1:7200"`
	Name   string `arg:"--name" default:"service"`
}

func (c *standinServiceCmd) run(ctx context.Context, out io.Writer) error {
	return serveUntilStopped(ctx, out, c.Listen, plain.New(c.Name).Handler())
}
