// Command merlinpost is the router on entry hosts and the operators' command
// line.
package main

import (
	"os"

	"github.com/merlinpost/merlinpost/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
