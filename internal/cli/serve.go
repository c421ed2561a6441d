package cli

import (
	"fmt"
	"os"
	"runtime/debug"

	"mastchute/internal/app"
	"mastchute/internal/config"
	"mastchute/internal/platform"
)

const version = "0.1.0"

type serveCmd struct {
	Config string `arg:"" type:"existingfile" help:"Settings file (YAML); docs/operators.md lists every setting."`
}

func (c *serveCmd) Run() error { return exitStatus(app.Serve(c.Config, os.Stderr)) }

type platformCmd struct{}

func (platformCmd) Run() error { return exitStatus(platform.Run(os.Stderr)) }

type checkCmd struct {
	Config  string `arg:"" type:"existingfile" help:"Settings file (YAML)."`
	Workers bool   `help:"The file is a worker file, as named by roster.file."`
}

func (c *checkCmd) Run() error {
	if err := c.load(); err != nil {
		return failed(err)
	}
	fmt.Println(c.Config + ": good")
	return nil
}

func (c *checkCmd) load() error {
	if c.Workers {
		_, err := config.LoadWorkers(c.Config)
		return err
	}
	_, err := config.Load(c.Config)
	return err
}

type demoCmd struct {
	Listen  string  `default:"127.0.0.1:8080" help:"Address for clients; port 0 chooses a free port."`
	Admin   string  `default:"127.0.0.1:8081" help:"Address of the admin interface; port 0 chooses a free port."`
	Seconds float64 `help:"Stop after this many seconds; 0 runs until Ctrl-C."`
}

func (c *demoCmd) Run() error { return exitStatus(app.Demo(c.Listen, c.Admin, c.Seconds, os.Stderr)) }

type versionCmd struct{}

func (versionCmd) Run() error {
	fmt.Println("mastchute " + version)
	if build, ok := debug.ReadBuildInfo(); ok {
		fmt.Println(build.GoVersion)
	}
	return nil
}
