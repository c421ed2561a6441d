package cli

import (
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"mastchute/internal/lab"
)

type labBenchCmd struct {
	Workers int           `default:"8" help:"Number of echo workers."`
	Conns   int           `default:"64" help:"Number of client connections."`
	Span    time.Duration `default:"3s" help:"Duration of each measurement."`
	Rounds  int           `default:"3" help:"Measurements of each program; the median is reported."`
	Idle    int           `default:"10000" help:"Idle connections for the measurement of memory; 0 skips it."`
	JSON    bool          `name:"json" help:"Print JSON."`
}

func (c *labBenchCmd) Run() error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	rows, err := lab.Bench(lab.BenchOptions{
		Command:         []string{self},
		Workers:         c.Workers,
		Connections:     c.Conns,
		Duration:        c.Span,
		Rounds:          c.Rounds,
		IdleConnections: c.Idle,
		Progress:        os.Stderr,
	})
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSONLine(rows)
	}
	printBench(rows)
	return nil
}

// printBench prints the rows, and the gateway's throughput relative to that of the relay (a) and of ReverseProxy (b).
func printBench(rows []lab.BenchRow) {
	fmt.Printf("%-18s %10s %14s %10s %10s %12s %12s\n",
		"target", "answers/s", "answers/CPU s", "p50 us", "p99 us", "p99 added us", "idle conn B")
	for _, row := range rows {
		fmt.Printf("%-18s %10.0f %14.0f %10.0f %10.0f %12.0f %12.0f\n",
			row.Target, row.PerSecond, row.PerCPU, row.P50*1e6, row.P99*1e6, row.AddedMs*1e3, row.IdleBytes)
	}
	gateway, relay, proxy := rows[0], rows[1], rows[2]
	fmt.Printf("mastchute relative to the others: %.2f of (a)'s answers/s, %.2f of (a)'s and %.2f of (b)'s answers/CPU s; latencies at %.0f requests/s\n",
		gateway.PerSecond/relay.PerSecond, gateway.PerCPU/relay.PerCPU, gateway.PerCPU/proxy.PerCPU, gateway.PerSecond/2)
}

// freePort is a loopback address with a port that the system chooses.
var freePort = netip.MustParseAddrPort("127.0.0.1:0")

// labEchoCmd runs workers that respond at once with a few bytes. It prints their addresses on one line.
type labEchoCmd struct{ Workers int }

func (c *labEchoCmd) Run() error {
	loop, addresses, err := lab.NewEchoWorkers(slices.Repeat([]netip.AddrPort{freePort}, c.Workers))
	if err != nil {
		return err
	}
	words := make([]string, len(addresses))
	for i, address := range addresses {
		words[i] = address.String()
	}
	fmt.Println(strings.Join(words, " "))
	return loop.Run()
}

// labRelayCmd runs the relay (a), which forwards to the workers. It prints the relay's address.
type labRelayCmd struct{ Workers string }

func (c *labRelayCmd) Run() error {
	workers, err := parseAddresses(c.Workers)
	if err != nil {
		return err
	}
	loop, address, err := lab.NewRelayProxy(freePort, workers)
	if err != nil {
		return err
	}
	fmt.Println(address)
	return loop.Run()
}

// labProxyCmd runs net/http's ReverseProxy (b), which forwards to the workers. It prints the proxy's address and serves
// until it is killed.
type labProxyCmd struct{ Workers string }

func (c *labProxyCmd) Run() error {
	workers, err := parseAddresses(c.Workers)
	if err != nil {
		return err
	}
	listener, err := lab.StartReverseProxy(freePort.String(), workers)
	if err != nil {
		return err
	}
	fmt.Println(listener.Addr())
	select {}
}

// parseAddresses parses addresses separated by spaces.
func parseAddresses(list string) ([]netip.AddrPort, error) {
	var addresses []netip.AddrPort
	for _, word := range strings.Fields(list) {
		address, err := netip.ParseAddrPort(word)
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}
