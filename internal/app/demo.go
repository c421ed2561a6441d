package app

import (
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strings"
	"time"

	"mastchute/internal/config"
	"mastchute/internal/emulator"
	"mastchute/internal/eventloop"
)

// DemoModels are what the stand-ins of a demonstration serve.
var DemoModels = []emulator.ModelSpec{
	{Name: "species-fern", Group: "read", MemoryMB: 300, Lanes: 4, Work: 0.05, Fetch: 0.4, Boot: 0.2},
	{Name: "label-print", Group: "write", MemoryMB: 200, Lanes: 2, Work: 0.08, Fetch: 0.3, Boot: 0.2, Deduped: true},
}

// DemoSpec is a fleet of n stand-ins that serve the models.
func DemoSpec(n int, models []emulator.ModelSpec) emulator.Spec {
	s := emulator.Spec{Models: models, Store: emulator.StoreSpec{Slots: 4, Limit: 16}, Seed: 1}
	for i := range n {
		s.Workers = append(s.Workers, emulator.WorkerSpec{Name: fmt.Sprintf("w%d", i+1), Cores: 4, Speed: 1, MemoryMB: 2000, Queue: 64,
			Loads: 4, OnMiss: "load", Keep: 60, Disk: true, StopsCancelled: true, ColdShare: 0.2, WarmAfter: 15, Overload: 2, Fall: 1, DedupWindow: 10})
	}
	return s
}

// Demo runs a dispatcher with three stand-ins on loopback, for the given seconds (0: until interrupted).
func Demo(listen, adminAt string, seconds float64, out io.Writer) int {
	l, err := eventloop.New(0)
	if err != nil {
		fmt.Fprintln(out, err)
		return ExitError
	}
	free := netip.MustParseAddrPort("127.0.0.1:0")
	s, err := emulator.NewServer(l, DemoSpec(3, DemoModels), []netip.AddrPort{free, free, free}, free, nil, false)
	if err != nil {
		fmt.Fprintln(out, err)
		return ExitError
	}
	cfg := config.Default()
	cfg.Name, cfg.Listen, cfg.Admin = "demo", listen, adminAt
	cfg.Groups = []config.Group{
		{Name: "read", Effect: "retriable", SLO: config.S(1), Timeout: config.S(5), Value: 1},
		{Name: "write", Effect: "deduped", Scope: "all", Window: config.S(10), SLO: config.S(1), Timeout: config.S(5), Value: 2}}
	for _, m := range DemoModels {
		cfg.Models = append(cfg.Models, config.Model{Name: m.Name, Group: m.Group, Memory: config.B(int64(m.MemoryMB * 1e6)),
			Lanes: float64(m.Lanes), Load: config.S(m.Fetch + m.Boot)})
	}
	for i := range 3 {
		cfg.Workers = append(cfg.Workers, config.Worker{Name: fmt.Sprintf("w%d", i+1), Address: s.Addr(i).String()})
	}
	ended := make(chan error, 1)
	go func() { ended <- l.Run() }()
	code := Run(&cfg, "", out, func(d *Dispatcher) {
		at, adm := d.Gateway.Addr().String(), "off"
		if d.Admin != nil {
			adm = d.Admin.Addr().String()
		}
		fmt.Fprintf(out, "\nmastchute demo: a dispatcher on %s, admin on %s, three stand-in workers, two models.\n"+
			"Try, in another terminal:\n\n  curl -i -d '{}' http://%s/v2/models/species-fern/infer\n  curl -s http://%s/status\n\n"+
			"Break something: curl -d '{\"kind\":\"hang\",\"worker\":\"w1\",\"span\":10}' http://%s/fault\n"+
			"   (kinds: %s)\n\nCtrl-C stops it.\n\n", at, adm, at, adm, s.Control(), strings.Join(kinds(), ", "))
		if seconds > 0 {
			time.AfterFunc(time.Duration(seconds*float64(time.Second)), func() { d.Stop(cfg.StopGrace.Seconds) })
		}
	})
	l.Stop()
	<-ended
	return code
}

func kinds() []string {
	var out []string
	for k := range emulator.Kinds {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
