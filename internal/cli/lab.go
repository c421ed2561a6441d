package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// labCmd are the commands that test and measure. Echo, Relay and Proxy are the processes that Bench starts.
type labCmd struct {
	Day     labDayCmd     `cmd:"" help:"Run a scenario (a day) over sockets in real processes and check the five rules."`
	Sweep   labSweepCmd   `cmd:"" help:"Run a day with several values of some of its keys, in simulated time, the same seeds each."`
	Compare labCompareCmd `cmd:"" help:"Compare days, or the same day under several settings, in simulated time."`
	Draw    labDrawCmd    `cmd:"" help:"Generate a random day."`
	Hunt    labHuntCmd    `cmd:"" help:"Search random days for the worst service and for broken rules, and shrink them to what matters."`
	Convert labConvertCmd `cmd:"" help:"Convert a day of the bench into one of ours, as far as possible."`
	Report  labReportCmd  `cmd:"" help:"Write a page with plots of one report or of several side by side."`
	Load    labLoadCmd    `cmd:"" help:"Put an open-loop load on a gateway and measure from the intended times."`
	Soak    labSoakCmd    `cmd:"" help:"Inject random faults into real dispatcher processes and check every promise."`
	Bench   labBenchCmd   `cmd:"" help:"Measure the gateway beside a bare relay and net/http's ReverseProxy."`
	Echo    labEchoCmd    `cmd:"" hidden:""`
	Relay   labRelayCmd   `cmd:"" hidden:""`
	Proxy   labProxyCmd   `cmd:"" hidden:""`
}

// signalContext returns a context that is cancelled by SIGINT or SIGTERM.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}
