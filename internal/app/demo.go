package app

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"mastchute/internal/config"
	"mastchute/internal/emulator"
	"mastchute/internal/eventloop"
)

const demoWorkers = 3

// DemoModels holds the models that the emulated workers of the demo serve.
var DemoModels = []emulator.ModelSpec{
	{Name: "species-fern", Group: "read", MemoryMB: 300, Concurrency: 4, MeanWork: 0.05, FetchTime: 0.4, BootTime: 0.2},
	{Name: "label-print", Group: "write", MemoryMB: 200, Concurrency: 2, MeanWork: 0.08, FetchTime: 0.3, BootTime: 0.2, Deduped: true},
}

// DemoSpec returns the specification of a fleet of emulated workers that serve the models.
func DemoSpec(workers int, models []emulator.ModelSpec) emulator.Spec {
	spec := emulator.Spec{Models: models, Store: emulator.StoreSpec{Slots: 4, Limit: 16}, Seed: 1}
	for i := range workers {
		spec.Workers = append(spec.Workers, emulator.WorkerSpec{
			Name: workerName(i), Cores: 4, Speed: 1, MemoryMB: 2000, QueueLimit: 64,
			ConcurrentLoads: 4, OnMiss: "load", IdleTimeout: 60, CachesImages: true, StopsCancelled: true,
			SlowStartCapacity: 0.2, SlowStartDuration: 15, OverloadFactor: 2, OverloadWindow: 1, DedupWindow: 10,
		})
	}
	return spec
}

func workerName(i int) string { return fmt.Sprintf("w%d", i+1) }

// Demo runs a dispatcher with emulated workers on loopback for the given number of seconds, or until a stop signal if
// seconds is 0, and returns the exit code. A short introduction and the log are written to out.
func Demo(listen, adminAddress string, seconds float64, out io.Writer) int {
	fleet, err := startDemoFleet()
	if err != nil {
		fmt.Fprintln(out, err)
		return ExitError
	}
	defer fleet.stop()
	cfg := demoSettings(listen, adminAddress, fleet.workers)
	return run(cfg, "", out, func(d *dispatcher) {
		printIntroduction(out, d, fleet.workers)
		if seconds > 0 {
			time.AfterFunc(toDuration(seconds), func() { d.Stop(cfg.StopGrace.Seconds) })
		}
	})
}

// demoFleet holds the emulated workers of the demo and the event loop that they run on.
type demoFleet struct {
	workers    *emulator.Server
	loop       *eventloop.Loop
	loopResult chan error
}

func startDemoFleet() (*demoFleet, error) {
	loop, err := eventloop.New(0)
	if err != nil {
		return nil, err
	}
	workers, err := emulator.NewLoopbackServer(loop, DemoSpec(demoWorkers, DemoModels), nil, false)
	if err != nil {
		loop.Close()
		return nil, err
	}
	fleet := &demoFleet{workers: workers, loop: loop, loopResult: make(chan error, 1)}
	go func() { fleet.loopResult <- loop.Run() }()
	return fleet, nil
}

func (f *demoFleet) stop() {
	f.loop.Stop()
	<-f.loopResult
}

func demoSettings(listen, adminAddress string, workers *emulator.Server) *config.Config {
	cfg := config.Default()
	cfg.Name = "demo"
	cfg.Listen = listen
	cfg.Admin = adminAddress
	cfg.Groups = []config.Group{
		{Name: "read", Effect: "retriable", SLO: config.Seconds(1), Timeout: config.Seconds(5), ServiceWeight: 1},
		{Name: "write", Effect: "deduped", DedupScope: "all", DedupWindow: config.Seconds(10), SLO: config.Seconds(1), Timeout: config.Seconds(5), ServiceWeight: 2},
	}
	for _, m := range DemoModels {
		cfg.Models = append(cfg.Models, config.Model{Name: m.Name, Group: m.Group, Memory: config.Bytes(int64(m.MemoryMB * 1e6)),
			Concurrency: float64(m.Concurrency), LoadTime: config.Seconds(m.FetchTime + m.BootTime)})
	}
	for i := range demoWorkers {
		cfg.Workers = append(cfg.Workers, config.Worker{Name: workerName(i), Address: workers.Addr(i).String()})
	}
	return &cfg
}

const introduction = `
mastchute demo: a dispatcher on %[1]s, admin on %[2]s, three emulated workers, two models.
Try, in another terminal:

  curl -i -d '{}' http://%[1]s/v2/models/species-fern/infer
  curl -s http://%[2]s/status

Inject a fault: curl -d '{"kind":"hang","worker":"w1","span":10}' http://%[3]s/fault
   (kinds: %[4]s)

Ctrl-C stops it.

`

func printIntroduction(out io.Writer, d *dispatcher, workers *emulator.Server) {
	adminAddress := "off"
	if d.admin != nil {
		adminAddress = d.admin.Addr().String()
	}
	kinds := strings.Join(slices.Sorted(maps.Keys(emulator.FaultDescriptions)), ", ")
	fmt.Fprintf(out, introduction, d.gateway.Addr(), adminAddress, workers.FaultAddr(), kinds)
}
