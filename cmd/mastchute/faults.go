//go:build faults

package main

import (
	"fmt"
	"os"

	"mastchute/internal/syscalls/faults"
)

// init makes system calls fail as MASTCHUTE_FAULTS plans; for the fault soak only.
func init() {
	if plan := os.Getenv("MASTCHUTE_FAULTS"); plan != "" {
		if err := faults.Install(plan); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}
