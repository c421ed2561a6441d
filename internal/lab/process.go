package lab

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"syscall"
	"time"

	"github.com/goccy/go-yaml"

	"mastchute/internal/config"
)

// proc is one process of the day.
type proc struct {
	cmd  *exec.Cmd
	done chan struct{}
	code int
}

func (o *Options) start(out, errs io.Writer, args ...string) (*proc, error) {
	cmd := exec.Command(o.Self[0], append(append([]string(nil), o.Self[1:]...), args...)...)
	cmd.Env = append(os.Environ(), o.Env...)
	cmd.Stdout, cmd.Stderr = out, errs
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // a run that is interrupted leaves none behind
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &proc{cmd: cmd, done: make(chan struct{})}
	go func() {
		err := cmd.Wait()
		var exit *exec.ExitError
		if errors.As(err, &exit) {
			p.code = exit.ExitCode()
		} else if err != nil {
			p.code = -1
		}
		close(p.done)
	}()
	return p, nil
}

// stop asks the process to end, and kills it when it has not after the span. It returns the exit code.
func (p *proc) stop(span time.Duration) int {
	p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(span):
		p.cmd.Process.Kill()
		<-p.done
	}
	return p.code
}

// dispatcher is one dispatcher process and its settings.
type dispatcher struct {
	*gateway
	cfg   config.Config
	file  string
	admin string
	proc  *proc
	log   *os.File
}

// startDispatcher starts the process and waits until it is ready. The addresses it takes at first it keeps.
func (r *run) startDispatcher(d *dispatcher) error {
	text, err := yaml.Marshal(d.cfg)
	if err == nil {
		err = os.WriteFile(d.file, text, 0o600)
	}
	if err != nil {
		return err
	}
	pr, pw := io.Pipe()
	if d.log == nil {
		if d.log, err = os.Create(r.path(d.name + ".log")); err != nil {
			return err
		}
	}
	if d.proc, err = r.opt.start(nil, pw, "serve", d.file); err != nil {
		return err
	}
	type at struct{ Message, Listen, Admin string }
	first := make(chan at, 1)
	go func() {
		s := bufio.NewScanner(pr)
		s.Buffer(nil, 1<<20)
		for s.Scan() {
			d.log.Write(append(s.Bytes(), '\n'))
			var a at
			if json.Unmarshal(s.Bytes(), &a) == nil && a.Message == "serving" {
				first <- a
			}
		}
		io.Copy(io.Discard, pr)
	}()
	p := d.proc
	go func() { <-p.done; pw.Close() }()
	select {
	case a := <-first:
		if d.addr == "" {
			d.addr, d.admin = a.Listen, a.Admin
			d.cfg.Listen, d.cfg.Admin = a.Listen, a.Admin
		}
	case <-d.proc.done:
		log, _ := os.ReadFile(r.path(d.name + ".log"))
		return fmt.Errorf("dispatcher %s ended with exit code %d: %s", d.name, d.proc.code, log)
	case <-time.After(10 * time.Second):
		return fmt.Errorf("dispatcher %s did not come up", d.name)
	}
	for range 500 {
		resp, err := http.Get("http://" + d.admin + "/v2/health/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == 200 {
				return nil
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return fmt.Errorf("dispatcher %s is not ready after 5 s", d.name)
}
