// Command merlinpost-agent runs beside a backend server, as its only client.
package main

import (
	"os"

	"github.com/merlinpost/merlinpost/internal/cli"
)

func main() { os.Exit(cli.AgentMain(os.Args[1:], os.Stdout, os.Stderr)) }
