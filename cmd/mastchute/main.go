// Command mastchute runs the gateway and the tools that check, test and measure it.
package main

import (
	"os"

	"mastchute/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:])) }
