// Command simadapter runs dispatchers for the simulator. It reads batches of events from standard input and writes
// replies to standard output.
package main

import (
	"fmt"
	"os"

	"mastchute/control"
	"mastchute/internal/simwire"
)

func main() {
	newModule := func(seed uint64, s control.Settings, a control.Actions) control.Module {
		return control.New(seed, s, a)
	}
	err := simwire.Serve(os.Stdin, os.Stdout, newModule)
	if err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}
