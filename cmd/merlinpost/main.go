// Command merlinpost runs a router on an entry host, or a gateway, and provides the
// command line for operators.
package main

import (
	"os"

	"github.com/merlinpost/merlinpost/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
