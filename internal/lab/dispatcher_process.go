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
	servingMessage   = "serving" // of the log line that a dispatcher writes once it listens
	loopbackFreePort = "127.0.0.1:0"
)

// dispatcherProcess is a dispatcher process and those that follow it under the same name and addresses.
type dispatcherProcess struct {
	client  dispatcherClient
	config  config.Config
	file    string // of the configuration
	admin   string // address of the admin interface
	process *process
	logFile *os.File
}

// servingLine is what is read of the log line that a dispatcher writes once it listens.
type servingLine struct{ Message, Listen, Admin string }

// startDispatcher starts a dispatcher process and waits until it is ready. The addresses of the first process are kept for
// those that follow.
func (r *run) startDispatcher(d *dispatcherProcess) error {
	text, err := yaml.Marshal(d.config)
	if err != nil {
		return err
	}
	if err := os.WriteFile(d.file, text, 0o600); err != nil {
		return err
	}
	if d.logFile == nil {
		d.logFile, err = os.Create(r.path(d.client.name + ".log"))
		if err != nil {
			return err
		}
	}
	logReader, logWriter := io.Pipe()
	p, err := r.options.startProcess(nil, logWriter, "serve", d.file)
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
		return fmt.Errorf("dispatcher %s ended with exit code %d: %s", d.client.name, p.exitCode, log)
	case <-time.After(startTimeout):
		return fmt.Errorf("dispatcher %s did not start within %s", d.client.name, startTimeout)
	}
	return d.awaitReady()
}

// copyLog copies the process's log to the log file. The channel receives the line that holds its addresses.
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

// setAddresses makes those that follow listen where the first process does.
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
	return fmt.Errorf("dispatcher %s is not ready after %s", d.client.name, readyTimeout)
}

// close ends the process, if there is one, and its log.
func (d *dispatcherProcess) close() {
	if d.process != nil {
		d.process.kill()
	}
	if d.logFile != nil {
		d.logFile.Close()
	}
}
