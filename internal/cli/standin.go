package cli

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"mastchute/internal/app"
	"mastchute/internal/emulator"
	"mastchute/internal/eventloop"
	"mastchute/internal/lab"
)

const (
	recordBufferSize = 1 << 20         // bytes
	forcedExitDelay  = 5 * time.Second // from a stop signal
)

type standinCmd struct {
	Workers int    `default:"3" help:"Number of workers, if there is no --spec."`
	Listen  string `default:"127.0.0.1" help:"IP address to listen on."`
	Port    int    `default:"0" help:"Port of the first worker; the others get the ports after it. 0 chooses free ports."`
	Control string `default:"127.0.0.1:0" help:"Address of the interface that injects faults: POST /fault."`
	Spec    string `type:"existingfile" help:"Fleet specification (JSON), as written by lab day; default: a small fleet with the demo's models."`
	Records string `help:"Write each event on the sockets to this file, one JSON line each."`
	JSON    bool   `name:"json" help:"Print the addresses as one JSON line; default: as a worker file for roster.file."`
	Cold    bool   `help:"Workers begin in slow start."`
}

// Run serves until it receives a stop signal.
func (c *standinCmd) Run() error {
	spec, err := c.fleetSpec()
	if err != nil {
		return err
	}
	workerAddresses, faultAddress, err := c.addresses(len(spec.Workers))
	if err != nil {
		return err
	}
	var records io.Writer
	if c.Records != "" {
		f, err := os.Create(c.Records)
		if err != nil {
			return err
		}
		defer f.Close()
		buffer := bufio.NewWriterSize(f, recordBufferSize)
		defer buffer.Flush()
		records = buffer
	}
	loop, err := eventloop.New(0)
	if err != nil {
		return err
	}
	server, err := emulator.NewServer(loop, spec, workerAddresses, faultAddress, records, c.Cold)
	if err != nil {
		return err
	}
	if err := c.printAddresses(server, spec); err != nil {
		return err
	}
	stopOnSignal(loop)
	return loop.Run()
}

func (c *standinCmd) fleetSpec() (emulator.Spec, error) {
	spec := app.DemoSpec(c.Workers, app.DemoModels)
	if c.Spec == "" {
		return spec, nil
	}
	text, err := os.ReadFile(c.Spec)
	if err != nil {
		return spec, err
	}
	if err := json.Unmarshal(text, &spec); err != nil {
		return spec, fmt.Errorf("%s: %w", c.Spec, err)
	}
	return spec, nil
}

// addresses returns the addresses that the workers and the fault interface are to listen on.
func (c *standinCmd) addresses(workers int) ([]netip.AddrPort, netip.AddrPort, error) {
	host, err := netip.ParseAddr(c.Listen)
	if err != nil {
		return nil, netip.AddrPort{}, err
	}
	faultAddress, err := netip.ParseAddrPort(c.Control)
	if err != nil {
		return nil, netip.AddrPort{}, err
	}
	addresses := make([]netip.AddrPort, workers)
	for i := range addresses {
		port := c.Port
		if port > 0 {
			port += i
		}
		addresses[i] = netip.AddrPortFrom(host, uint16(port))
	}
	return addresses, faultAddress, nil
}

// printAddresses prints the addresses that the workers and the fault interface listen on.
func (c *standinCmd) printAddresses(server *emulator.Server, spec emulator.Spec) error {
	addresses := lab.EmulatorAddresses{FaultAddr: server.FaultAddr().String()}
	for i, worker := range spec.Workers {
		addresses.Workers = append(addresses.Workers, lab.WorkerAddress{Name: worker.Name, Address: server.Addr(i).String()})
	}
	if c.JSON {
		return printJSONLine(addresses)
	}
	fmt.Printf("# faults: curl -d '{\"kind\":\"hang\",\"worker\":\"w1\",\"span\":10}' http://%s/fault\nworkers:\n", addresses.FaultAddr)
	for _, worker := range addresses.Workers {
		fmt.Printf("  - {name: %s, address: %q}\n", worker.Name, worker.Address)
	}
	return nil
}

// stopOnSignal makes SIGINT or SIGTERM stop the loop, and end the process if the loop does not stop in time.
func stopOnSignal(loop *eventloop.Loop) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		loop.Stop()
		time.AfterFunc(forcedExitDelay, func() { os.Exit(app.ExitError) })
	}()
}
