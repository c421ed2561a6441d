package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"mastchute/internal/syscalls/faults"
)

const (
	connectAfterTerm    = 0.3  // s after SIGTERM during which clients open new connections
	readyTimeout        = 10.0 // s from its start until a dispatcher must be ready
	healthCheckInterval = 20 * time.Millisecond
)

// interval is a span of time, in seconds of the run.
type interval struct{ from, to float64 }

// reload records a reload of the configuration.
type reload struct {
	at               float64
	changeLogAddress string
}

// dispatcher is a dispatcher process and its successors after restarts, under one name and address.
type dispatcher struct {
	run            *runner
	index          int
	address        string
	configFile     string
	logFile        string
	reservedPortFD int // socket that reserves the port
	changeLogIndex int // index of the change log's address in the configuration

	mu           sync.Mutex
	cmd          *exec.Cmd
	exitedChan   chan struct{} // closed when cmd has ended
	ready        bool
	sigtermAt    float64 // when cmd got SIGTERM; 0 if it did not
	exited       bool
	restarting   bool // a restart or reload is in progress
	suspensions  []interval
	killTimes    []float64
	sigtermTimes []float64
	reloads      []reload
}

func newDispatcher(run *runner, index int) (*dispatcher, error) {
	reservedPortFD, address, err := reservePort()
	if err != nil {
		return nil, fmt.Errorf("reserve a port for dispatcher %d: %w", index, err)
	}
	return &dispatcher{run: run, index: index, address: address, reservedPortFD: reservedPortFD,
		configFile: filepath.Join(run.dir, fmt.Sprintf("d%d.json", index)),
		logFile:    filepath.Join(run.dir, fmt.Sprintf("d%d.log", index))}, nil
}

// reservePort binds a socket to a free port without listening. The kernel then gives the port only to sockets that bind
// to it explicitly, so that neither another run nor an outgoing connection takes it while no dispatcher listens.
func reservePort() (fd int, address string, err error) {
	fd, err = unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, "", err
	}
	port, err := bindFreePort(fd)
	if err != nil {
		unix.Close(fd)
		return -1, "", err
	}
	return fd, net.JoinHostPort("127.0.0.1", strconv.Itoa(port)), nil
}

func bindFreePort(fd int) (port int, err error) {
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return 0, err
	}
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return 0, err
	}
	bound, err := unix.Getsockname(fd)
	if err != nil {
		return 0, err
	}
	return bound.(*unix.SockaddrInet4).Port, nil
}

// start starts a process and watches in the background for its readiness and its end.
func (d *dispatcher) start() error {
	cmd, err := d.command()
	if err != nil {
		return err
	}
	output, err := os.OpenFile(d.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	cmd.Stdout = output
	cmd.Stderr = output
	startedAt := d.run.history.now()
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start dispatcher %d: %w", d.index, err)
	}
	exited := make(chan struct{})
	d.mu.Lock()
	d.cmd = cmd
	d.exitedChan = exited
	d.ready = false
	d.sigtermAt = 0
	d.exited = false
	d.mu.Unlock()
	go d.awaitExit(cmd, startedAt, exited)
	go d.awaitReady(startedAt, exited)
	return nil
}

// command writes the configuration and returns the command that runs a dispatcher with it.
func (d *dispatcher) command() (*exec.Cmd, error) {
	if err := os.WriteFile(d.configFile, d.configuration(), 0o600); err != nil {
		return nil, err
	}
	cmd := exec.Command(d.run.binary, "platform")
	cmd.Env = append(slices.Concat(os.Environ(), d.run.env), "LB_CONFIG="+d.configFile, "LB_NAME=n"+strconv.Itoa(d.index), "LB_LISTEN="+d.address)
	spans := d.run.plan.syscallFaults(d.index)
	if len(spans) == 0 && !d.run.trace {
		return cmd, nil
	}
	faultPlan := faults.Plan{Origin: d.run.clockOrigin, Seed: d.run.plan.Seed + uint64(d.index), Faults: spans}
	if d.run.trace {
		faultPlan.Trace = filepath.Join(d.run.dir, fmt.Sprintf("d%d.trace", d.index))
	}
	plan, err := json.Marshal(faultPlan)
	if err != nil {
		return nil, err
	}
	cmd.Env = append(cmd.Env, "MASTCHUTE_FAULTS="+string(plan))
	return cmd, nil
}

// awaitExit waits for the end of a process, and reports one that got neither SIGTERM nor SIGKILL from the run.
func (d *dispatcher) awaitExit(cmd *exec.Cmd, startedAt float64, exited chan<- struct{}) {
	cmd.Wait()
	d.mu.Lock()
	d.exited = true
	d.ready = false
	killed := len(d.killTimes) > 0 && d.killTimes[len(d.killTimes)-1] >= startedAt
	expected := d.sigtermAt > 0 || killed
	d.mu.Unlock()
	close(exited)
	if !expected {
		d.run.report("P11", d.run.history.now(), "dispatcher %d ended without a signal from the run: %s", d.index, cmd.ProcessState)
	}
}

// awaitReady checks the health of a process until it is ready, has ended or readyTimeout has passed.
func (d *dispatcher) awaitReady(startedAt float64, exited <-chan struct{}) {
	for {
		if isHealthy(d.address) {
			d.mu.Lock()
			d.ready = d.sigtermAt == 0
			d.mu.Unlock()
			return
		}
		if d.run.history.now()-startedAt > readyTimeout {
			d.run.report("P11", startedAt, "dispatcher %d is not ready %.0f s after its start", d.index, readyTimeout)
			return
		}
		select {
		case <-exited:
			return
		case <-d.run.stopped:
			return
		case <-time.After(healthCheckInterval):
		}
	}
}

// accepting reports whether clients may open new connections and whether they may send requests at a time. After
// SIGTERM they use open connections until shutdownTimeout.
func (d *dispatcher) accepting(now float64) (connect, send bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.sigtermAt > 0 {
		return !d.exited && now < d.sigtermAt+connectAfterTerm, !d.exited && now < d.sigtermAt+d.run.shutdownTimeout()
	}
	return d.ready, d.ready
}

// isRunning reports whether a process was started and has not ended.
func (d *dispatcher) isRunning() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cmd != nil && !d.exited
}

func (d *dispatcher) isReady() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ready
}

// process returns the running or last process, and a channel that is closed when it has ended.
func (d *dispatcher) process() (cmd *exec.Cmd, exited <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cmd, d.exitedChan
}
