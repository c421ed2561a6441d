// Package clitest lets a test binary run as mastchute, so that tests can start mastchute processes without building the
// program. A test package that uses it calls Main from its TestMain.
package clitest

import (
	"os"
	"os/exec"
	"testing"

	"mastchute/internal/cli"
)

const childVariable = "MASTCHUTE_TEST_CHILD" // if it is 1, the test binary runs as mastchute

// Env is the environment entry that makes a process of the test binary run as mastchute.
const Env = childVariable + "=1"

// Main runs mastchute if Env is in the environment and the tests otherwise, and then ends the process.
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
