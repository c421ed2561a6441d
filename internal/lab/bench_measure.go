package lab

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
)

// This file measures the memory, throughput and latency of the targets of a benchmark.

const (
	acceptDelay         = 300 * time.Millisecond // time for the target to accept the last idle connection
	clockTicksPerSecond = 100                    // USER_HZ, the unit of CPU times in /proc
)

// measureIdle measures the memory of idle connections of all targets but the echo workers.
func (b *benchmark) measureIdle() error {
	if b.options.IdleConnections <= 0 {
		return nil
	}
	for _, t := range b.targets[:len(b.targets)-1] {
		bytes, err := idleBytes(t.address, t.pid, b.options.IdleConnections)
		if err != nil {
			return err
		}
		t.row.IdleBytes = bytes
	}
	return nil
}

// throughput is the result of one closed-loop measurement.
type throughput struct{ perSecond, perCPU, cpuPercent float64 }

// measureThroughput measures all targets in a closed loop, in rounds, and keeps the medians.
func (b *benchmark) measureThroughput() error {
	measured := make([][]throughput, len(b.targets))
	for range max(1, b.options.Rounds) {
		for i, t := range b.targets {
			m, err := b.closedLoop(t)
			if err != nil {
				return err
			}
			measured[i] = append(measured[i], m)
			fmt.Fprintf(b.options.Progress, "%-18s %8.0f responses per second, %8.0f per CPU second\n", t.row.Target, m.perSecond, m.perCPU)
		}
	}
	for i, t := range b.targets {
		t.row.PerSecond = medianOf(measured[i], func(m throughput) float64 { return m.perSecond })
		t.row.PerCPU = medianOf(measured[i], func(m throughput) float64 { return m.perCPU })
		t.row.CPUPercent = medianOf(measured[i], func(m throughput) float64 { return m.cpuPercent })
	}
	return nil
}

// closedLoop measures one target in a closed loop after a warm-up.
func (b *benchmark) closedLoop(t *benchTarget) (throughput, error) {
	if _, err := runDriver(t.address, b.options.Connections, 0, b.options.Duration/4); err != nil {
		return throughput{}, err
	}
	cpuBefore := cpuSeconds(t.pid)
	begin := time.Now()
	latencies, err := runDriver(t.address, b.options.Connections, 0, b.options.Duration)
	if err != nil {
		return throughput{}, err
	}
	elapsed := time.Since(begin).Seconds()
	cpu := cpuSeconds(t.pid) - cpuBefore
	responses := float64(latencies.TotalCount())
	return throughput{perSecond: responses / elapsed, perCPU: responses / cpu, cpuPercent: 100 * cpu / elapsed}, nil
}

// openLoopLatency is the result of one open-loop measurement, in seconds.
type openLoopLatency struct{ p50, p99 float64 }

// measureLatency measures all targets in an open loop at half the gateway's closed-loop rate, in rounds, and keeps the
// medians.
func (b *benchmark) measureLatency() error {
	rate := b.targets[0].row.PerSecond / 2
	measured := make([][]openLoopLatency, len(b.targets))
	for range max(1, b.options.Rounds) {
		for i, t := range b.targets {
			latencies, err := runDriver(t.address, b.options.Connections, rate, b.options.Duration)
			if err != nil {
				return err
			}
			measured[i] = append(measured[i], openLoopLatency{p50: float64(latencies.ValueAtPercentile(50)) / 1e9,
				p99: float64(latencies.ValueAtPercentile(99)) / 1e9})
		}
	}
	for i, t := range b.targets {
		t.row.P50 = medianOf(measured[i], func(m openLoopLatency) float64 { return m.p50 })
		t.row.P99 = medianOf(measured[i], func(m openLoopLatency) float64 { return m.p99 })
		t.row.P99ms = t.row.P99 * 1e3
	}
	for _, t := range b.targets {
		t.row.AddedMs = (t.row.P99 - b.echo().row.P99) * 1e3
	}
	return nil
}

// medianOf returns the median of one value over the measurements.
func medianOf[M any](measurements []M, value func(M) float64) float64 {
	var values []float64
	for _, m := range measurements {
		values = append(values, value(m))
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// cpuSeconds returns the CPU time that a process has used, user and system, or 0 if it can't be read.
func cpuSeconds(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	afterName := string(text[strings.LastIndexByte(string(text), ')')+1:])
	fields := strings.Fields(afterName)
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / clockTicksPerSecond
}

// residentBytes returns the resident memory of a process, or 0 if it can't be read.
func residentBytes(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	pages, _ := strconv.ParseFloat(strings.Fields(string(text))[1], 64)
	return pages * float64(os.Getpagesize())
}

// idleBytes opens n connections that send nothing, from several loopback addresses, and returns the target's resident memory
// per connection.
func idleBytes(to netip.AddrPort, pid, n int) (float64, error) {
	before := residentBytes(pid)
	var conns []net.Conn
	defer func() {
		for _, conn := range conns {
			conn.Close()
		}
	}()
	for i := range n {
		dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, byte(2+i%8))}, Timeout: 2 * time.Second}
		conn, err := dialer.Dial("tcp", to.String())
		if err != nil {
			return 0, fmt.Errorf("open idle connection %d: %w", i, err)
		}
		conns = append(conns, conn)
	}
	time.Sleep(acceptDelay)
	return (residentBytes(pid) - before) / float64(n), nil
}
