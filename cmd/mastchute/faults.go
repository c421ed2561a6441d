//go:build faults

package main

import (
	"fmt"
	"os"

	"mastchute/internal/syscalls/faults"
)

// init installs the failures of system calls that MASTCHUTE_FAULTS plans. Only builds for the fault soak have it: it runs
// before main, since the first system calls of the program are to fail too.
func init() {
	if plan := os.Getenv("MASTCHUTE_FAULTS"); plan != "" {
		if err := faults.Install(plan); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}
