package soak

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// usage is the resource usage of a process.
type usage struct {
	descriptors int
	residentMB  float64
}

func (d *dispatcher) usage() usage {
	return usage{descriptors: d.descriptors(), residentMB: d.residentMB()}
}

// descriptors counts the open descriptors of the process.
func (d *dispatcher) descriptors() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	list, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.cmd.Process.Pid))
	return len(list)
}

// residentMB returns the resident memory of the process in MB, 0 if it can't be read.
func (d *dispatcher) residentMB() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
	for _, line := range strings.Split(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return float64(kb) / 1024
		}
	}
	return 0
}

const maxDescriptors = 1 << 16 // hard limit on descriptors during a DescriptorLimit fault

// limitDescriptors lowers the limit on open descriptors to the number in use, for the duration of a fault.
func (d *dispatcher) limitDescriptors(f Fault) {
	inUse := uint64(d.descriptors())
	cmd, _ := d.process()
	pid := cmd.Process.Pid
	var old unix.Rlimit
	if unix.Prlimit(pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: inUse, Max: maxDescriptors}, &old) != nil {
		return
	}
	time.Sleep(seconds(f.To - f.From))
	err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &old, nil)
	if err != nil && !errors.Is(err, unix.ESRCH) { // the process may have ended
		d.run.report(guaranteeHarness, d.run.history.now(), "could not restore the limit on open descriptors of dispatcher %d: %v", d.index, err)
	}
}

// logLines returns the lines of the dispatcher's log that contain a text.
func (d *dispatcher) logLines(substring string) (lines []string) {
	text, _ := os.ReadFile(d.logFile)
	for _, line := range bytes.Split(text, []byte("\n")) {
		if bytes.Contains(line, []byte(substring)) {
			lines = append(lines, string(line))
		}
	}
	return lines
}
