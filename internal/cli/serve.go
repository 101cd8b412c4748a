package cli

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/merlinpost/merlinpost/internal/agent"
	"github.com/merlinpost/merlinpost/internal/assembly"
	"github.com/merlinpost/merlinpost/internal/dev"
	"github.com/merlinpost/merlinpost/internal/resource"
	"github.com/merlinpost/merlinpost/internal/settings"
	"github.com/merlinpost/merlinpost/internal/telemetry"
)

type routerCmd struct {
	Config string `arg:"--config,required" help:"settings file (TOML)"`
}

func (c *routerCmd) run(ctx context.Context, _ io.Writer) error {
	set := settings.DefaultRouter()
	if err := settings.ReadFile(c.Config, &set); err != nil {
		return err
	}
	r, err := assembly.NewRouter(set, telemetry.NewLogger(os.Stderr, set.Logging))
	if err != nil {
		return err
	}
	ctx, stop := notifyStop(ctx)
	return r.Serve(ctx, stop)
}

type agentCmd struct {
	Config   string `arg:"--config,required" help:"settings file (TOML)"`
	Validate bool   `arg:"--validate" help:"validate the settings and exit"`
}

// Description implements arg.Described.
func (agentCmd) Description() string {
	return "merlinpost-agent runs beside a backend server and is its only client."
}

func (c *agentCmd) run(ctx context.Context, out io.Writer) error {
	set := settings.DefaultAgent()
	if err := settings.ReadFile(c.Config, &set); err != nil {
		return err
	}
	if c.Validate {
		_, err := fmt.Fprintf(out, "%s: agent settings are valid\n", c.Config)
		return err
	}
	a, err := agent.New(set, telemetry.NewLogger(os.Stderr, set.Logging))
	if err != nil {
		return err
	}
	ctx, stop := notifyStop(ctx)
	context.AfterFunc(ctx, a.Stop)
	go func() {
		<-stop
		a.Stop()
	}()
	return a.Run(ctx)
}

type devCmd struct {
	Callers   string `arg:"--callers" default:"127.0.0.1:8080" help:"address of the caller API"`
	Operators string `arg:"--operators" default:"127.0.0.1:8081" help:"address of the operator API"`
	LogLevel  string `arg:"--log-level" default:"warn" help:"debug, info, warn or error"`
}

func (c *devCmd) run(ctx context.Context, out io.Writer) error {
	ctx, stop := notifyStop(ctx)
	logger := telemetry.NewLogger(os.Stderr, settings.Logging{Format: "text", Level: c.LogLevel})
	d, err := dev.Start(ctx, dev.Options{Callers: c.Callers, Operators: c.Operators}, logger)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(out, `merlinpost dev is ready
  callers    http://%s   team key: %s
  operators  http://%s   operator key: %s
`, d.CallersAddress(), dev.TeamKey, d.OperatorsAddress(), dev.OperatorKey); err != nil {
		return err
	}
	return d.Wait(ctx, stop)
}

type validateCmd struct {
	Router    []string `arg:"--router,separate" help:"router settings file"`
	Agent     []string `arg:"--agent,separate" help:"agent settings file"`
	Resources []string `arg:"positional" help:"resource files"`
}

func (c *validateCmd) run(_ context.Context, out io.Writer) error {
	for _, f := range c.Router {
		set := settings.DefaultRouter()
		if err := settings.ReadFile(f, &set); err != nil {
			return err
		}
		if _, err := fmt.Fprintf(out, "%s: router settings are valid\n", f); err != nil {
			return err
		}
	}
	for _, f := range c.Agent {
		if err := (&agentCmd{Config: f, Validate: true}).run(context.Background(), out); err != nil {
			return err
		}
	}
	for _, f := range c.Resources {
		desired, err := readDocument(f)
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintf(out, "%s: %d resources are valid\n", f, len(desired)); err != nil {
			return err
		}
	}
	return nil
}

type hashKeyCmd struct {
	Key string `arg:"positional,required" help:"key of a team or an operator"`
}

func (c *hashKeyCmd) run(_ context.Context, out io.Writer) error {
	_, err := fmt.Fprintln(out, resource.HashAPIKey(c.Key))
	return err
}
