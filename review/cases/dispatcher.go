package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

var (
	errNoRunLine = errors.New("deploy/balancer.toml has no line with the command `run`")
	errNotReady  = errors.New("the dispatcher is not ready 10 s after its start")
)

// runCommand returns the command of the deploy file that runs a dispatcher.
func runCommand(root string) (string, error) {
	file, err := os.Open(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		rest, found := strings.CutPrefix(lines.Text(), `run = "`)
		if found {
			command, _, _ := strings.Cut(rest, `"`)
			return command, nil
		}
	}
	return "", errNoRunLine
}

// dispatcher is a process of the project under test.
type dispatcher struct {
	address string
	cmd     *exec.Cmd
	exited  chan struct{}
}

// freeAddress returns an address with a port that is free at present.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// startDispatcher starts a dispatcher with the command of the deploy file, and waits until it is ready. It is ended with the
// case.
func (e *environment) startDispatcher(settings map[string]any) (*dispatcher, error) {
	command, err := runCommand(e.root)
	if err != nil {
		return nil, err
	}
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	config := filepath.Join(e.dir, "config.json")
	err = e.writeConfig(config, address, settings)
	if err != nil {
		return nil, err
	}
	output, err := os.Create(filepath.Join(e.dir, "dispatcher.log"))
	if err != nil {
		return nil, err
	}
	defer output.Close()
	d := &dispatcher{address: address, cmd: exec.Command("/bin/sh", "-c", command), exited: make(chan struct{})}
	d.cmd.Dir = e.root
	d.cmd.Stdout = output
	d.cmd.Stderr = output
	d.cmd.Env = append(os.Environ(), "LB_NAME=n0", "LB_LISTEN="+address, "LB_CONFIG="+config, "TMPDIR="+e.dir)
	err = e.start(d)
	if err != nil {
		return nil, fmt.Errorf("start %q: %w", command, err)
	}
	for range 200 {
		if isAlive(address) {
			return d, nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil, errNotReady
}

// start starts the process of a dispatcher, unless the case is ending.
func (e *environment) start(d *dispatcher) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	err := d.cmd.Start()
	if err != nil {
		return err
	}
	e.dispatchers = append(e.dispatchers, d)
	go func() {
		d.cmd.Wait()
		close(d.exited)
	}()
	return nil
}

// writeConfig writes the configuration file of a dispatcher.
func (e *environment) writeConfig(path, address string, settings map[string]any) error {
	known, _ := e.log.since(0)
	text, err := json.Marshal(map[string]any{
		"name": "n0", "listen": address, "seed": randomHex(), "changelog": e.log.address(), "known": known, "settings": settings,
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}

// hasExited reports whether the process has ended.
func (d *dispatcher) hasExited() bool {
	select {
	case <-d.exited:
		return true
	default:
		return false
	}
}

// kill ends the process and waits for its end.
func (d *dispatcher) kill() {
	d.cmd.Process.Kill()
	<-d.exited
}
