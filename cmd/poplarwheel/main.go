// Command poplarwheel is the load balancer's only binary: the entry daemon, the
// operator's tools and the stand-ins used in tests.
package main

import (
	"os"

	"github.com/poplarwheel/poplarwheel/internal/cli"
	_ "github.com/poplarwheel/poplarwheel/internal/hangup" // before others are initialized
)

func main() {
	os.Exit(cli.Main(os.Args[1:], cli.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}))
}
