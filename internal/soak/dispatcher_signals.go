package soak

import (
	"os"
	"syscall"
	"time"
)

// This file sends signals to a dispatcher process: to stop, suspend or kill it, and to reload its configuration.

const (
	killAfterDeadline = 0.7 // s past the deadline of requests until a terminating process is killed
	maxDrainDeadline  = 3.0 // s; upper bound of the deadline in shutdownTimeout
	sighupsPerBurst   = 12  // SIGHUPs in a burst, while the file is half written or before SIGTERM
	reloadWriteDelay  = 30 * time.Millisecond
	reloadSignalDelay = 20 * time.Millisecond
)

// signalInterval is the time between two signals of a SignalSeries.
const signalInterval = 70 * time.Millisecond

// interferingSignals are sent around a SIGTERM in a SignalSeries. SIGTERM itself is sent only to a process that has received
// one already; none of the others ends a process.
var interferingSignals = []syscall.Signal{syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGTERM}

func (d *dispatcher) signal(sig syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil && !d.exited {
		d.cmd.Process.Signal(sig)
	}
}

// beginRestart claims the dispatcher for a restart or a reload. It returns false if one is in progress or the
// dispatcher is not ready.
func (d *dispatcher) beginRestart() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.restarting || !d.ready {
		return false
	}
	d.restarting = true
	return true
}

func (d *dispatcher) endRestart() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.restarting = false
}

// shutdownTimeout returns the seconds from SIGTERM until a dispatcher that still runs is killed, as on the platform.
func (r *runner) shutdownTimeout() float64 {
	return min(r.plan.Site.Deadline, maxDrainDeadline) + killAfterDeadline
}

// terminate sends SIGTERM, and SIGKILL if the process does not end within shutdownTimeout.
func (d *dispatcher) terminate() {
	d.mu.Lock()
	cmd := d.cmd
	exited := d.exitedChan
	now := d.run.history.now()
	d.sigtermAt = now
	d.sigtermTimes = append(d.sigtermTimes, now)
	d.mu.Unlock()
	cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-exited:
		if cmd.ProcessState.ExitCode() != 0 {
			d.run.report("P11", now, "dispatcher %d ended with %s after SIGTERM", d.index, cmd.ProcessState)
		}
	case <-time.After(seconds(d.run.shutdownTimeout() + d.plannedSuspension(now))):
		d.run.report("P11", now, "dispatcher %d was still running %.2f s after SIGTERM and was killed", d.index, d.run.shutdownTimeout())
		d.kill()
	}
}

// terminateDuringSignals stops the process as terminate does, among other signals: a burst of SIGHUP just before, and
// interferingSignals throughout.
func (d *dispatcher) terminateDuringSignals() {
	ended := make(chan struct{})
	go func() {
		for i := 0; ; i++ {
			sig := interferingSignals[i%len(interferingSignals)]
			if sig != syscall.SIGTERM || d.isTerminating() {
				d.signal(sig)
			}
			select {
			case <-ended:
				return
			case <-time.After(signalInterval):
			}
		}
	}()
	for range sighupsPerBurst {
		d.signal(syscall.SIGHUP)
	}
	d.terminate()
	close(ended)
}

// isTerminating reports whether the process has been sent SIGTERM.
func (d *dispatcher) isTerminating() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sigtermAt > 0
}

// plannedSuspension returns for how long the plan suspends the process during a shutdown that begins now.
func (d *dispatcher) plannedSuspension(now float64) (sum float64) {
	for _, f := range d.run.plan.Faults {
		if f.Kind == Suspend && f.Target == d.index && f.overlaps(now, now+d.run.shutdownTimeout()) {
			sum += f.To - max(f.From, now)
		}
	}
	return sum
}

func (d *dispatcher) kill() {
	cmd, exited := d.process()
	d.mu.Lock()
	d.killTimes = append(d.killTimes, d.run.history.now())
	d.ready = false
	d.mu.Unlock()
	cmd.Process.Kill()
	<-exited
}

// suspend stops the process with SIGSTOP for the duration of a fault.
func (d *dispatcher) suspend(f Fault) {
	from := d.run.history.now()
	d.signal(syscall.SIGSTOP)
	time.Sleep(seconds(f.To - f.From))
	d.signal(syscall.SIGCONT)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.suspensions = append(d.suspensions, interval{from, d.run.history.now()})
}

// reload replaces the configuration by one with the other address of the change log. A burst of SIGHUP arrives while
// the file is half written.
func (d *dispatcher) reload() {
	d.mu.Lock()
	d.changeLogIndex = 1 - d.changeLogIndex
	d.mu.Unlock()
	text := d.configuration()
	os.WriteFile(d.configFile, text[:len(text)/2], 0o600)
	for range sighupsPerBurst {
		d.signal(syscall.SIGHUP)
	}
	time.Sleep(reloadWriteDelay)
	os.WriteFile(d.configFile, text, 0o600)
	d.mu.Lock()
	d.reloads = append(d.reloads, reload{d.run.history.now(), d.run.changeLog.addrs[d.changeLogIndex]})
	d.mu.Unlock()
	time.Sleep(reloadSignalDelay)
	d.signal(syscall.SIGHUP)
}
