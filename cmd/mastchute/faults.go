//go:build faults

package main

import (
	"fmt"
	"os"

	"mastchute/internal/syscalls/faults"
)

// init makes system calls fail according to the plan in MASTCHUTE_FAULTS. Only builds with the tag faults, which the fault
// soak uses, contain it. It runs before main, so that the program's first system calls can fail too.
func init() {
	if plan := os.Getenv("MASTCHUTE_FAULTS"); plan != "" {
		if err := faults.Install(plan); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}
