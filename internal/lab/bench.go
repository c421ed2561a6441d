package lab

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml"

	"mastchute/internal/config"
)

// BenchOptions specify the measurements of Bench.
type BenchOptions struct {
	Command         []string      // command line of mastchute
	Workers         int           // echo workers
	Connections     int           // client connections
	Duration        time.Duration // of each measurement
	IdleConnections int           // idle connections for the measurement of memory; 0 skips it
	Rounds          int           // measurements of each target; the median is reported
	Dir             string        // directory for settings; empty for a temporary one
	Progress        io.Writer     // receives progress lines
}

// BenchRow holds the results of one target.
type BenchRow struct {
	Target     string  `json:"target"`
	PerSecond  float64 `json:"per_s"`         // responses per second, closed loop
	PerCPU     float64 `json:"per_cpu_s"`     // responses per CPU second of the target, closed loop
	P50, P99   float64 `json:"-"`             // s, open loop at half the gateway's closed-loop rate
	P99ms      float64 `json:"p99_half_ms"`   // P99 in ms
	AddedMs    float64 `json:"p99_added_ms"`  // ms, P99 beyond that of the echo workers without a proxy in the same run
	IdleBytes  float64 `json:"idle_bytes"`    // resident memory per idle connection
	CPUPercent float64 `json:"cpu_of_a_core"` // of one core, closed loop
}

const benchStartTimeout = 5 * time.Second

// benchTarget is a process under measurement.
type benchTarget struct {
	row     BenchRow
	address netip.AddrPort
	pid     int
}

// benchmark is a run of Bench. Each target has its own process.
type benchmark struct {
	options   BenchOptions
	processes []*process
	targets   []*benchTarget // the gateway is first, the echo workers are last
}

// Bench measures the gateway and the baselines in the same run.
func Bench(o BenchOptions) ([]BenchRow, error) {
	if o.Dir == "" {
		dir, err := os.MkdirTemp("", "mastchute-bench-")
		if err != nil {
			return nil, err
		}
		defer os.RemoveAll(dir)
		o.Dir = dir
	}
	b := &benchmark{options: o}
	defer b.close()
	if err := b.startTargets(); err != nil {
		return nil, err
	}
	// Idle connections come first: after a load, they would reuse memory that the process holds already.
	if err := b.measureIdle(); err != nil {
		return nil, err
	}
	if err := b.measureThroughput(); err != nil {
		return nil, err
	}
	if err := b.measureLatency(); err != nil {
		return nil, err
	}
	var rows []BenchRow
	for _, t := range b.targets {
		rows = append(rows, t.row)
	}
	return rows, nil
}

func (b *benchmark) close() {
	for _, p := range b.processes {
		p.kill()
	}
}

// startTargets starts the echo workers, the gateway and the baselines.
func (b *benchmark) startTargets() error {
	echoAddresses, echo, err := b.startCommand("lab", "echo", "--workers", strconv.Itoa(b.options.Workers))
	if err != nil {
		return err
	}
	workers := strings.Fields(echoAddresses)
	configFile, err := b.writeConfig(workers)
	if err != nil {
		return err
	}
	for _, target := range []struct {
		name string
		args []string
	}{
		{"mastchute", []string{"serve", configFile}},
		{"relay (a)", []string{"lab", "relay", "--workers", echoAddresses}},
		{"ReverseProxy (b)", []string{"lab", "proxy", "--workers", echoAddresses}},
	} {
		address, p, err := b.startCommand(target.args...)
		if err != nil {
			return err
		}
		if err := b.addTarget(target.name, address, p); err != nil {
			return err
		}
	}
	return b.addTarget("echo, no gateway", workers[0], echo)
}

func (b *benchmark) addTarget(name, address string, p *process) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return fmt.Errorf("address of %s: %w", name, err)
	}
	b.targets = append(b.targets, &benchTarget{row: BenchRow{Target: name}, address: parsed, pid: p.cmd.Process.Pid})
	return nil
}

// writeConfig writes the gateway's configuration file and returns its name.
func (b *benchmark) writeConfig(workers []string) (string, error) {
	c := config.Default()
	c.Listen = loopbackFreePort
	c.Admin = "off"
	c.Log.Format = "json"
	c.Seed = 1
	c.Groups = []config.Group{{Name: "read", Effect: effectRetriable, SLO: config.Seconds(1), Timeout: config.Seconds(5), ServiceWeight: 1}}
	c.Models = []config.Model{{Name: "m-*", Group: "read", Memory: config.Bytes(1e8), Concurrency: 8, LoadTime: config.Seconds(0.5)}}
	for i, address := range workers {
		c.Workers = append(c.Workers, config.Worker{Name: workerName(i), Address: address})
	}
	text, err := yaml.Marshal(c)
	if err != nil {
		return "", err
	}
	file := filepath.Join(b.options.Dir, "bench.yaml")
	return file, os.WriteFile(file, text, 0o600)
}

// startCommand starts mastchute with arguments and waits for the addresses that it announces.
func (b *benchmark) startCommand(args ...string) (addresses string, p *process, err error) {
	options := RunOptions{Command: b.options.Command}
	outputReader, outputWriter := io.Pipe()
	p, err = options.startProcess(outputWriter, outputWriter, args...)
	if err != nil {
		return "", nil, err
	}
	b.processes = append(b.processes, p)
	announced := make(chan string, 1)
	go func() {
		if addresses, ok := readAddresses(outputReader, args[0] == "serve"); ok {
			announced <- addresses
		}
		io.Copy(io.Discard, outputReader)
	}()
	select {
	case addresses := <-announced:
		return addresses, p, nil
	case <-time.After(benchStartTimeout):
		return "", nil, fmt.Errorf("mastchute %v did not announce an address within %s", args, benchStartTimeout)
	}
}

// readAddresses reads the line that announces the addresses: a line of the gateway's log, or the first line of a baseline.
func readAddresses(output io.Reader, isGateway bool) (addresses string, ok bool) {
	s := bufio.NewScanner(output)
	for s.Scan() {
		if !isGateway {
			return s.Text(), true
		}
		var line servingLine
		if json.Unmarshal(s.Bytes(), &line) == nil && line.Message == servingMessage {
			return line.Listen, true
		}
	}
	return "", false
}

// echo returns the echo workers, to which all other targets send.
func (b *benchmark) echo() *benchTarget { return b.targets[len(b.targets)-1] }
