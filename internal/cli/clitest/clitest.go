// Package clitest lets a test's own binary run as mastchute, so that tests can start processes of it without building
// anything. A test package that uses it calls Main from its TestMain.
package clitest

import (
	"os"
	"os/exec"
	"testing"

	"mastchute/internal/cli"
)

const childVariable = "MASTCHUTE_TEST_CHILD" // set to 1: the test binary runs as mastchute

// Env makes a process of the test binary run as mastchute.
const Env = childVariable + "=1"

// Main runs the tests, or mastchute in a process that has Env in its environment, and ends the process.
func Main(m *testing.M) {
	if os.Getenv(childVariable) == "1" {
		os.Exit(cli.Main(os.Args[1:]))
	}
	os.Exit(m.Run())
}

// Command returns a command that runs mastchute with the arguments.
func Command(args ...string) *exec.Cmd {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), Env)
	return cmd
}
