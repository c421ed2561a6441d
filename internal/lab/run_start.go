package lab

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"mastchute/internal/config"
)

// EmulatorAddresses is what the worker emulator prints, as a line of JSON, once it listens.
type EmulatorAddresses struct {
	Workers   []WorkerAddress `json:"workers"`
	FaultAddr string          `json:"control"` // accepts faults to inject
}

// WorkerAddress is the address of an emulated worker.
type WorkerAddress struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// start starts the worker emulator and the dispatchers, and waits until they are ready.
func (r *run) start() error {
	if err := r.startEmulator(); err != nil {
		return err
	}
	for i := range r.scenario.Dispatchers {
		d := r.newDispatcher(i)
		r.dispatchers = append(r.dispatchers, d) // before its start, so that close ends it even if the start fails
		if err := r.startDispatcher(d); err != nil {
			return err
		}
	}
	return nil
}

// startEmulator starts the worker emulator and reads its addresses.
func (r *run) startEmulator() error {
	spec, err := json.Marshal(r.scenario.Spec())
	if err != nil {
		return err
	}
	if err := os.WriteFile(r.path(fleetFile), spec, 0o600); err != nil {
		return err
	}
	args := []string{"standin", "--spec", r.path(fleetFile), "--records", r.path(recordsFile), "--json"}
	if r.scenario.Fleet.SlowStart {
		args = append(args, "--cold")
	}
	outputReader, outputWriter := io.Pipe()
	r.emulator, err = r.options.startProcess(outputWriter, os.Stderr, args...)
	if err != nil {
		return err
	}
	announced := make(chan error, 1)
	go func() {
		line, err := bufio.NewReader(outputReader).ReadBytes('\n')
		if err == nil {
			err = json.Unmarshal(line, &r.addresses)
		}
		announced <- err
		io.Copy(io.Discard, outputReader)
	}()
	select {
	case err := <-announced:
		return err
	case <-r.emulator.done:
		return fmt.Errorf("worker emulator exited with code %d before it listened", r.emulator.exitCode)
	case <-time.After(startTimeout):
		return errors.New("worker emulator did not announce its addresses in time")
	}
}

// seedsPerScenario is the number of dispatcher seeds that are reserved for each seed of a scenario.
const seedsPerScenario = 1000

// dispatcherSeed returns the seed of a dispatcher's random decisions.
func (s *Scenario) dispatcherSeed(index int) uint64 {
	return s.Seed*seedsPerScenario + uint64(index) + 1
}

func dispatcherName(index int) string { return fmt.Sprintf("d%d", index) }

// newDispatcher returns a dispatcher with its configuration. It does not start the process.
func (r *run) newDispatcher(index int) *dispatcherProcess {
	name := dispatcherName(index)
	d := &dispatcherProcess{client: dispatcherClient{name: name}, config: r.scenario.Settings, configFile: r.path(name + ".yaml")}
	d.config.Name = name
	d.config.Listen = loopbackFreePort
	d.config.Admin = loopbackFreePort
	d.config.Seed = r.scenario.dispatcherSeed(index)
	d.config.Log.Format = "json"
	specs := r.scenario.Spec().Workers
	for i, w := range r.addresses.Workers {
		d.config.Workers = append(d.config.Workers, config.Worker{Name: w.Name, Address: w.Address, Zone: specs[i].Zone, Cell: specs[i].Cell, Weight: 1})
	}
	return d
}
