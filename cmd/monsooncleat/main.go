// Command monsooncleat is a layer-4 load balancer.
package main

import (
	"os"

	"monsooncleat.example/monsooncleat/internal/cli/cmds"
)

func main() {
	os.Exit(cmds.Run(os.Args[1:], os.Stdout, os.Stderr))
}
