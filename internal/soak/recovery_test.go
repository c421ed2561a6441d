package soak

import (
	"os"
	"os/exec"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Descriptors that are closed within the idle time of connections are no leak; those that stay open are.
func TestSettledDescriptors(t *testing.T) {
	const idleTime, opened = 0.5, 40
	r := newTestRunner()
	r.plan.Site.ConnIdle = idleTime
	d := &dispatcher{run: r, cmd: &exec.Cmd{Process: &os.Process{Pid: os.Getpid()}}}
	limit := d.descriptors() + opened/2
	var descriptors []int
	for range opened {
		fd, err := unix.Open(os.DevNull, unix.O_RDONLY|unix.O_CLOEXEC, 0)
		if err != nil {
			t.Fatal(err)
		}
		descriptors = append(descriptors, fd)
	}
	startedAt := r.history.now()
	if n := r.settledDescriptors(d, limit); n <= limit {
		t.Errorf("%d descriptors, %d are open", n, opened)
	}
	if took := r.history.now() - startedAt; took < idleTime {
		t.Errorf("waited for %.2f s, want %.2f", took, idleTime)
	}
	time.AfterFunc(200*time.Millisecond, func() {
		for _, fd := range descriptors {
			unix.Close(fd)
		}
	})
	if n := r.settledDescriptors(d, limit); n > limit {
		t.Errorf("%d descriptors after they are closed, want %d at most", n, limit)
	}
}
