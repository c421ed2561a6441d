// Package cli is the command line of mastchute: it parses arguments, calls the packages that do the work, and maps their
// results to output and exit codes. `mastchute --help` lists the commands.
package cli

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/willabides/kongplete"

	"mastchute/internal/app"
)

// commands are the commands of the program. A command's flags are the fields of its type, its work is Run.
type commands struct {
	Serve    serveCmd    `cmd:"" help:"Run a dispatcher by a settings file."`
	Platform platformCmd `cmd:"" help:"Run a dispatcher on the operators' platform, as LB_CONFIG says."`
	Check    checkCmd    `cmd:"" help:"Check a settings file and report each problem with line and column."`
	Demo     demoCmd     `cmd:"" help:"Run a dispatcher and three emulated workers on loopback."`
	Standin  standinCmd  `cmd:"" help:"Run emulated workers on loopback."`
	Lab      labCmd      `cmd:"" help:"Test and measure dispatchers: scenarios, load, faults."`
	Version  versionCmd  `cmd:"" help:"Print the version."`

	InstallCompletions kongplete.InstallCompletions `cmd:"" help:"Print what to add to a shell's start file for completion."`
}

const description = "A gateway that forwards requests to workers which load models on demand.\n\n" +
	"Exit codes: 0 done or stopped cleanly; 1 wrong settings, address or arguments, or a scenario that broke a rule; " +
	"3 the decisions failed; 4 stopped, but the grace period ended with requests in flight."

// Main runs the program with its arguments, and returns the exit code.
func Main(args []string) int {
	var cmds commands
	helpExit := -1 // the exit code of kong's own commands, such as --help; -1 if none was given
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

// exitError ends the program with an exit code and without a message: the command has printed its own.
type exitError int

// errFailed ends the program as failed.
const errFailed = exitError(app.ExitError)

func (e exitError) Error() string { return fmt.Sprintf("exit %d", int(e)) }

// exitStatus returns the error of a command that ended with an exit code, nil for success.
func exitStatus(code int) error {
	if code == app.ExitOK {
		return nil
	}
	return exitError(code)
}

// report prints the error of a command, unless it is only an exit code, and returns the exit code.
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
