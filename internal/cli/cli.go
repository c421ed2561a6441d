// Package cli is the command line of mastchute. It parses arguments, calls the packages that implement the commands,
// and maps their results to output and exit codes. `mastchute --help` lists the commands.
package cli

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/willabides/kongplete"

	"mastchute/internal/app"
)

// commands holds the commands of the program. The fields of a command's type are its flags and arguments; its method
// Run executes it.
type commands struct {
	Serve    serveCmd    `cmd:"" help:"Run a dispatcher with a settings file."`
	Platform platformCmd `cmd:"" help:"Run a dispatcher on the operators' platform, configured by LB_CONFIG."`
	Check    checkCmd    `cmd:"" help:"Check a settings file and report each problem with its line and column."`
	Demo     demoCmd     `cmd:"" help:"Run a dispatcher and three emulated workers on loopback."`
	Standin  standinCmd  `cmd:"" help:"Run emulated workers on loopback."`
	Lab      labCmd      `cmd:"" help:"Test and measure dispatchers: scenarios, load, faults."`
	Version  versionCmd  `cmd:"" help:"Print the version."`

	InstallCompletions kongplete.InstallCompletions `cmd:"" help:"Print the lines to add to a shell's startup file for command completion."`
}

const description = "A gateway that forwards requests to workers which load models on demand.\n\n" +
	"Exit codes: 0 success, or stopped cleanly; 1 invalid settings, address or arguments, or a scenario that violated a rule; " +
	"3 the control module or the event loop failed; 4 stopped, but the grace period ended with requests in flight."

// Main runs the program with the given arguments and returns the exit code.
func Main(args []string) int {
	var cmds commands
	helpExit := -1 // exit code of a flag that kong handles itself, such as --help; -1 if none was given
	parser, err := kong.New(&cmds, kong.Name("mastchute"), kong.Description(description), kong.UsageOnError(),
		kong.Exit(func(code int) { helpExit = code }))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return app.ExitError
	}
	kongplete.Complete(parser)
	ctx, err := parser.Parse(args)
	if helpExit >= 0 {
		return helpExit
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "mastchute: %v; see mastchute --help\n", err)
		return app.ExitError
	}
	return report(ctx.Run())
}

// exitError ends the program with an exit code. No message is printed, since the command has printed its own.
type exitError int

// errFailed ends the program with app.ExitError.
const errFailed = exitError(app.ExitError)

func (e exitError) Error() string { return fmt.Sprintf("exit %d", int(e)) }

// exitStatus returns the error for a command that ended with an exit code, or nil for success.
func exitStatus(code int) error {
	if code == app.ExitOK {
		return nil
	}
	return exitError(code)
}

// report returns the exit code for a command's error. It prints the error unless it wraps an exitError.
func report(err error) int {
	if err == nil {
		return app.ExitOK
	}
	var exit exitError
	if errors.As(err, &exit) {
		return int(exit)
	}
	fmt.Fprintf(os.Stderr, "mastchute: %v\n", err)
	return app.ExitError
}

// failed prints an error without the program's name, and returns errFailed.
func failed(err error) error {
	fmt.Fprintln(os.Stderr, err)
	return errFailed
}
