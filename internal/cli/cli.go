// Package cli is the command line of mastchute; `mastchute --help` lists what it knows. It is wiring only.
package cli

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/alecthomas/kong"
	"github.com/willabides/kongplete"

	"mastchute/internal/app"
	"mastchute/internal/config"
	"mastchute/internal/platform"
)

type commands struct {
	Serve    serveCmd    `cmd:"" help:"Run a dispatcher by a settings file."`
	Platform platformCmd `cmd:"" help:"Run a dispatcher on the operators' platform, as LB_CONFIG says."`
	Check    checkCmd    `cmd:"" help:"Check a settings file and say what is wrong, with line and column."`
	Demo     demoCmd     `cmd:"" help:"Run a dispatcher and three stand-in workers on loopback."`
	Standin  standinCmd  `cmd:"" help:"Run stand-in workers on loopback."`
	Lab      labCmd      `cmd:"" help:"Play days, and measure."`
	Version  versionCmd  `cmd:"" help:"Print the version."`

	InstallCompletions kongplete.InstallCompletions `cmd:"" help:"Print what to add to a shell's start file for completion."`
}

type serveCmd struct {
	Config string `arg:"" type:"existingfile" help:"Settings file (YAML); docs/operators.md lists every setting."`
}

func (c *serveCmd) Run() error { return code(app.Serve(c.Config, os.Stderr)) }

type platformCmd struct{}

func (platformCmd) Run() error { return code(platform.Run(os.Stderr)) }

type checkCmd struct {
	Config  string `arg:"" type:"existingfile" help:"Settings file (YAML)."`
	Workers bool   `help:"The file is a list of workers, as roster.file names one."`
}

func (c *checkCmd) Run() error {
	var err error
	if c.Workers {
		_, err = config.LoadWorkers(c.Config)
	} else {
		_, err = config.Load(c.Config)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCode(app.ExitError)
	}
	fmt.Println(c.Config + ": good")
	return nil
}

type demoCmd struct {
	Listen  string  `default:"127.0.0.1:8080" help:"Address for clients; port 0 takes a free one."`
	Admin   string  `default:"127.0.0.1:8081" help:"Address for operators; port 0 takes a free one."`
	Seconds float64 `help:"Stop after so many seconds; 0 waits for Ctrl-C."`
}

func (c *demoCmd) Run() error { return code(app.Demo(c.Listen, c.Admin, c.Seconds, os.Stderr)) }

type versionCmd struct{}

func (versionCmd) Run() error {
	fmt.Println("mastchute " + version)
	if b, ok := debug.ReadBuildInfo(); ok {
		fmt.Println(b.GoVersion)
	}
	return nil
}

const version = "0.1.0"

// exitCode ends the program with a code and without a message.
type exitCode int

func (e exitCode) Error() string { return fmt.Sprintf("exit %d", int(e)) }

func code(n int) error {
	if n == app.ExitOK {
		return nil
	}
	return exitCode(n)
}

// Main runs the program with its arguments, and returns the exit code.
func Main(args []string) int {
	var cli commands
	code := -1
	parser, err := kong.New(&cli, kong.Name("mastchute"), kong.UsageOnError(), kong.Exit(func(n int) { code = n }),
		kong.Description("A gateway that hands inferences to workers which load models on demand.\n\n"+
			"Exit codes: 0 done or stopped cleanly; 1 wrong settings, address or arguments, or a day that broke a rule; "+
			"3 the decisions failed; 4 stopped, but the grace ran out with inferences in hand."))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return app.ExitError
	}
	kongplete.Complete(parser)
	ctx, err := parser.Parse(args)
	if code >= 0 { // help was asked for
		return code
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "mastchute: %v; see mastchute --help\n", err)
		return app.ExitError
	}
	err = ctx.Run()
	var e exitCode
	switch {
	case errors.As(err, &e):
		return int(e)
	case err != nil:
		fmt.Fprintf(os.Stderr, "mastchute: %v\n", err)
		return app.ExitError
	}
	return app.ExitOK
}
