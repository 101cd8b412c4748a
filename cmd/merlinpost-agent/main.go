// Command merlinpost-agent runs the agent of a backend server, which is the only client of the
// server.
package main

import (
	"os"

	"github.com/merlinpost/merlinpost/internal/cli"
)

func main() { os.Exit(cli.AgentMain(os.Args[1:], os.Stdout, os.Stderr)) }
