// Command merlinpost runs a router or a gateway, provides the commands for operators,
// and includes tools for development and load tests.
package main

import (
	"os"

	"github.com/merlinpost/merlinpost/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
