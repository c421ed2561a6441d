// Command mastchute is the gateway and its tools.
package main

import (
	"os"

	"mastchute/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:])) }
