package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// labCmd holds the commands that test and measure. Bench starts Echo, Relay and Proxy as processes.
type labCmd struct {
	Day     labDayCmd     `cmd:"" help:"Run a scenario over sockets in real processes and check rules 1 to 5."`
	Sweep   labSweepCmd   `cmd:"" help:"Run a scenario with several values of some of its keys, in simulated time, with the same seeds for each combination."`
	Compare labCompareCmd `cmd:"" help:"Compare scenarios, or one scenario under several settings, in simulated time."`
	Draw    labDrawCmd    `cmd:"" help:"Generate a random scenario."`
	Hunt    labHuntCmd    `cmd:"" help:"Search random scenarios for the worst service and for violated rules, and reduce each to its causes."`
	Convert labConvertCmd `cmd:"" help:"Convert a scenario of the bench to the format of the lab, as far as possible."`
	Report  labReportCmd  `cmd:"" help:"Write an HTML page with plots of one report, or of several side by side."`
	Load    labLoadCmd    `cmd:"" help:"Send an open-loop load to a gateway and measure latencies from the intended send times."`
	Soak    labSoakCmd    `cmd:"" help:"Inject random faults into real dispatcher processes and check all guarantees."`
	Bench   labBenchCmd   `cmd:"" help:"Compare throughput, latency and memory of the gateway, a bare relay and net/http's ReverseProxy."`
	Echo    labEchoCmd    `cmd:"" hidden:""`
	Relay   labRelayCmd   `cmd:"" hidden:""`
	Proxy   labProxyCmd   `cmd:"" hidden:""`
}

// signalContext returns a context that is cancelled by SIGINT or SIGTERM.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}
