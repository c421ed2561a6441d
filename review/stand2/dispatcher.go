package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
)

// dispatcher is one process that the run command of the deploy file starts.
type dispatcher struct {
	w       *world
	name    string
	addr    string
	config  string // path
	cmd     *exec.Cmd
	ended   chan struct{}
	endedAt float64
	state   string // how it ended
}

// runCommand returns the run command of the deploy file.
func runCommand(root string) string {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	must(err)
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, `run = "`); ok {
			command, _, _ := strings.Cut(rest, `"`)
			return command
		}
	}
	panic("the deploy file has no run command")
}

// writeConfig writes a configuration file as the platform does: under another name first.
func (d *dispatcher) writeConfig(changeLog string, known json.RawMessage, settings map[string]any, sockets int) {
	text, err := json.Marshal(map[string]any{
		"name": d.name, "listen": d.addr, "seed": "8c1f30d27a5be964",
		"limits":    map[string]any{"cores": 1.0, "memory_mb": 128, "sockets": sockets},
		"changelog": changeLog, "known": known, "settings": settings,
	})
	must(err)
	must(os.WriteFile(d.config+".new", text, 0o600))
	must(os.Rename(d.config+".new", d.config))
}

// newDispatcher returns a dispatcher that is not started.
func (w *world) newDispatcher(name string) *dispatcher {
	d := &dispatcher{w: w, name: name, addr: freeAddr(), config: filepath.Join(w.dir, name+".json")}
	w.dispatchers = append(w.dispatchers, d)
	return d
}

// start starts the process and waits until it answers that it is alive.
func (d *dispatcher) start() {
	d.cmd = exec.Command("/bin/sh", "-c", runCommand(d.w.root))
	d.cmd.Dir = d.w.root
	d.cmd.Env = append(os.Environ(), "LB_NAME="+d.name, "LB_LISTEN="+d.addr, "LB_CONFIG="+d.config, "TMPDIR="+d.w.dir)
	log := &bytes.Buffer{}
	d.cmd.Stdout, d.cmd.Stderr = log, log
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	must(d.cmd.Start())
	d.ended = make(chan struct{})
	d.w.rec.printf("%s started, process %d: %s", d.name, d.cmd.Process.Pid, runCommand(d.w.root))
	go func() {
		err := d.cmd.Wait()
		d.endedAt = d.w.rec.now()
		d.state = fmt.Sprint(err)
		d.w.rec.printf("%s ended: %v; its log:\n%s", d.name, err, log.String())
		close(d.ended)
	}()
	deadline := d.w.rec.now() + 15
	for !d.alive() {
		if d.w.rec.now() > deadline {
			panic("the dispatcher does not become ready")
		}
		sleep(0.05)
	}
	d.w.rec.printf("%s is ready", d.name)
}

// kill ends the process, if it runs, and waits for its end.
func (d *dispatcher) kill() {
	if d.cmd == nil || d.cmd.Process == nil {
		return
	}
	syscall.Kill(-d.cmd.Process.Pid, syscall.SIGKILL)
	<-d.ended
}
