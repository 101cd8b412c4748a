package cli

import (
	"context"
	"io"
)

type loadCmd struct {
	Scenario string `arg:"positional,required" help:"scenario file (TOML)"`
}

func (c *loadCmd) run(_ context.Context, _ io.Writer) error { return nil }
