package lab

import (
	"errors"
	"io"
	"os"
	"os/exec"
	"slices"
	"syscall"
	"time"
)

// process is a child process of a run.
type process struct {
	cmd      *exec.Cmd
	done     chan struct{} // closed when the process has ended
	exitCode int           // valid once done is closed
}

// startProcess starts mastchute with arguments. The kernel kills the process if its parent ends first.
func (o *RunOptions) startProcess(stdout, stderr io.Writer, args ...string) (*process, error) {
	cmd := exec.Command(o.Command[0], slices.Concat(o.Command[1:], args)...)
	cmd.Env = append(os.Environ(), o.Env...)
	cmd.Stdout = stdout
	cmd.Stderr = stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		err := cmd.Wait()
		var exit *exec.ExitError
		if errors.As(err, &exit) {
			p.exitCode = exit.ExitCode()
		} else if err != nil {
			p.exitCode = -1
		}
	}()
	return p, nil
}

// terminate sends SIGTERM, and SIGKILL if the process has not ended within the timeout. It returns the exit code.
func (p *process) terminate(timeout time.Duration) int {
	p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(timeout):
		p.kill()
	}
	return p.exitCode
}

// kill sends SIGKILL and waits until the process has ended.
func (p *process) kill() {
	p.cmd.Process.Kill()
	<-p.done
}
