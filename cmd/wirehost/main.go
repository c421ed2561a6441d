// Command wirehost hosts dispatchers on the simulator's wire: batches on standard input, replies on standard output.
package main

import (
	"fmt"
	"os"

	"mastchute/control"
	"mastchute/internal/wire"
)

func main() {
	start := func(seed uint64, s control.Settings, a control.Actions) control.Module {
		return control.New(seed, s, a)
	}
	if err := wire.Serve(os.Stdin, os.Stdout, start); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}
