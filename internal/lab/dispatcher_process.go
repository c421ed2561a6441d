package lab

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/goccy/go-yaml"

	"mastchute/internal/config"
)

const (
	startTimeout     = 10 * time.Second
	readyTimeout     = 5 * time.Second
	readyPollPeriod  = 10 * time.Millisecond
	maxLogLine       = 1 << 20
	servingMessage   = "serving" // message of the log line that a dispatcher writes once it listens
	loopbackFreePort = "127.0.0.1:0"
)

// dispatcherProcess manages the process of a dispatcher. A process that replaces a killed one has the same name and
// addresses.
type dispatcherProcess struct {
	client     dispatcherClient
	config     config.Config
	configFile string
	admin      string // address of the admin interface
	process    *process
	logFile    *os.File
}

// servingLine holds the fields that are read from the log line that a dispatcher writes once it listens.
type servingLine struct{ Message, Listen, Admin string }

// startDispatcher starts a dispatcher process and waits until it is ready. Later processes of the dispatcher listen on the
// addresses of the first one.
func (r *run) startDispatcher(d *dispatcherProcess) error {
	text, err := yaml.Marshal(d.config)
	if err != nil {
		return err
	}
	if err := os.WriteFile(d.configFile, text, 0o600); err != nil {
		return err
	}
	if d.logFile == nil {
		d.logFile, err = os.Create(r.path(d.client.name + ".log"))
		if err != nil {
			return err
		}
	}
	logReader, logWriter := io.Pipe()
	p, err := r.options.startProcess(nil, logWriter, "serve", d.configFile)
	if err != nil {
		return err
	}
	d.process = p
	serving := d.copyLog(logReader)
	go func() {
		<-p.done
		logWriter.Close()
	}()
	select {
	case line := <-serving:
		d.setAddresses(line)
	case <-p.done:
		log, _ := os.ReadFile(d.logFile.Name())
		return fmt.Errorf("dispatcher %s exited with code %d before it listened; its log: %s", d.client.name, p.exitCode, log)
	case <-time.After(startTimeout):
		return fmt.Errorf("dispatcher %s did not start within %s", d.client.name, startTimeout)
	}
	return d.awaitReady()
}

// copyLog copies the process's log to the log file. The returned channel receives the line with the addresses.
func (d *dispatcherProcess) copyLog(log io.Reader) <-chan servingLine {
	serving := make(chan servingLine, 1)
	go func() {
		s := bufio.NewScanner(log)
		s.Buffer(nil, maxLogLine)
		for s.Scan() {
			d.logFile.Write(append(s.Bytes(), '\n'))
			var line servingLine
			if json.Unmarshal(s.Bytes(), &line) == nil && line.Message == servingMessage {
				serving <- line
			}
		}
		io.Copy(io.Discard, log)
	}()
	return serving
}

// setAddresses keeps the first process's addresses in the configuration for the processes that replace it.
func (d *dispatcherProcess) setAddresses(line servingLine) {
	if d.client.address != "" {
		return
	}
	d.client.address = line.Listen
	d.config.Listen = line.Listen
	d.admin = line.Admin
	d.config.Admin = line.Admin
}

func (d *dispatcherProcess) awaitReady() error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(readyPollPeriod) {
		response, err := http.Get("http://" + d.admin + "/v2/health/ready")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("dispatcher %s did not become ready within %s", d.client.name, readyTimeout)
}

// close kills the process, if there is one, and closes its log.
func (d *dispatcherProcess) close() {
	if d.process != nil {
		d.process.kill()
	}
	if d.logFile != nil {
		d.logFile.Close()
	}
}
