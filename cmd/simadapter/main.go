// Command simadapter hosts dispatchers on the simulator's wire: batches on standard input, replies on standard output.
package main

import (
	"fmt"
	"os"

	"mastchute/control"
	"mastchute/internal/simwire"
)

func main() {
	start := func(seed uint64, s control.Settings, a control.Actions) control.Module {
		return control.New(seed, s, a)
	}
	if err := simwire.Serve(os.Stdin, os.Stdout, start); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}
