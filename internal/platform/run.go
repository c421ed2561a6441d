package platform

import (
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"mastchute/control"
	"mastchute/internal/app"
	"mastchute/internal/config"
	"mastchute/internal/gateway"
	"mastchute/internal/loop"
	"mastchute/internal/membership"
)

const (
	stopServe = 0.75 // s after SIGTERM in which all goes on: clients come for so long
	stopLong  = 3.0  // s that the platform counts a longer timeout as, before it kills what was told to stop
	stopKill  = 0.7  // s that it waits beyond the longest timeout
	stopSlack = 0.15 // s kept before that kill, for the last answers to go out
	listenFor = 20.0 // s for which a start waits for the address while the process before still holds it
	listenGap = 0.02 // s between tries
)

// Dispatcher is one on the platform.
type Dispatcher struct {
	Gateway *gateway.Gateway
	Loop    *loop.Loop
	front   *front
	feed    *feed
	log     zerolog.Logger
	file    *File // that it was started by, and that is in force but for the change log
	timeout float64
	stop    loop.Timer
	told    loop.Timer // tells now and then what was refused
	before  map[string]int
	ended   chan error
}

// New makes a dispatcher by its configuration. Run its loop to serve.
func New(f *File, log zerolog.Logger) (*Dispatcher, error) {
	l, err := loop.New(0)
	if err != nil {
		return nil, err
	}
	d := &Dispatcher{Loop: l, log: log, timeout: f.timeout(), before: map[string]int{}, ended: make(chan error, 1)}
	o := gateway.Options{Config: f.host(), Settings: f.set, Seed: f.seed, Source: membership.Log,
		Models: int(f.Limits.MemoryMB * (1 << 20) * modelShare / eachModel)}
	o.Front = func(g *gateway.Gateway) (gateway.Front, error) {
		p, err := newFront(g, f)
		d.front = p
		return p, err
	}
	d.file = f
	d.Gateway, err = gateway.NewHost(l, o, log, func(seed uint64, s control.Settings, a control.Actions) control.Module {
		return control.New(seed, s, a)
	})
	if err != nil {
		l.Close()
		return nil, err
	}
	d.feed = newFeed(d.Gateway, d.front.refuse)
	l.Later(func() {
		if err := d.feed.take(&f.Known); err != nil {
			log.Error().Err(err).Msg("the list of workers in the configuration was not taken")
		}
		d.feed.follow(f.changeLog)
	})
	d.stop.Fire = func() { d.Gateway.Stop(stopGrace(d.timeout)) }
	d.told.Fire = d.tell
	l.Later(func() { l.Start(&d.told, 5) })
	return d, nil
}

// tell logs what was refused since it was told last.
func (d *Dispatcher) tell() {
	e := d.log.Info()
	news := false
	for why, n := range d.front.refused {
		if n != d.before[why] {
			e, news = e.Int(why, n), true
			d.before[why] = n
		}
	}
	if news {
		e.Msg("refused or dropped so far, by reason")
	}
	d.Loop.Start(&d.told, 5)
}

// Reload takes a new configuration in service: the change log's address, and what it knows.
func (d *Dispatcher) Reload(f *File) {
	d.log.Info().Str("change_log", f.ChangeLog).Msg("configuration read anew")
	d.Gateway.Note("reload", "", nil, nil, 0)
	if other := d.file.differs(f); len(other) > 0 {
		d.log.Warn().Strs("fields", other).Msg("these changed too, and are in force after a restart only")
	}
	if err := d.feed.take(&f.Known); err != nil {
		d.log.Error().Err(err).Msg("the list of workers in the configuration was not taken")
	}
	d.feed.follow(f.changeLog)
}

// Stop goes on for a while, then answers what is in flight and ends the loop.
func (d *Dispatcher) Stop() {
	if d.front.leaving {
		return
	}
	d.front.leaving = true
	d.log.Info().Int("in_hand", d.Gateway.InFlight()).Msg("told to stop")
	d.Loop.Start(&d.stop, stopServe)
}

// newWhenFree makes a dispatcher by the configuration at a path; while another process holds the address, which mostly is
// the one before and about to end, it tries again. A SIGHUP meanwhile has it read the configuration anew. It returns nil
// where it is told to stop.
func newWhenFree(f *File, path string, log zerolog.Logger, sig <-chan os.Signal) (*Dispatcher, error) {
	for start := time.Now(); ; {
		d, err := New(f, log)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Since(start).Seconds() > listenFor {
			return d, err
		}
		select {
		case s := <-sig:
			if s != syscall.SIGHUP {
				return nil, nil
			}
			if n, err := ReadFile(path); err != nil {
				log.Error().Err(err).Msg("configuration not read; the old one stays in force")
			} else {
				f = n
			}
		case <-time.After(time.Duration(listenGap * float64(time.Second))):
		}
	}
}

// stopGrace is how long what is in flight may go on once nothing new is taken: it must end before the platform's kill.
func stopGrace(timeout float64) float64 {
	return math.Min(timeout, stopLong) + stopKill - stopServe - stopSlack
}

// Run runs a dispatcher by the platform's environment until it is told to stop, and returns the exit code.
func Run(out io.Writer) int {
	sig := make(chan os.Signal, 8) // first of all: a signal that comes before ends the process
	signal.Notify(sig, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	dump := make(chan os.Signal, 1)
	signal.Notify(dump, syscall.SIGUSR1)
	defer signal.Stop(dump)
	defer signal.Stop(sig)
	path := os.Getenv("LB_CONFIG")
	f, err := ReadFile(path)
	if err != nil {
		fmt.Fprintln(out, "mastchute: LB_CONFIG:", err)
		return app.ExitError
	}
	debug.SetMemoryLimit(int64(f.Limits.MemoryMB * (1 << 20) * heapShare))
	debug.SetGCPercent(50)
	runtime.GOMAXPROCS(1)
	log, flush := app.Logger(config.Log{Level: "info", Format: "json"}, out)
	defer flush()
	d, err := newWhenFree(f, path, log, sig)
	if d == nil && err == nil {
		log.Info().Msg("told to stop before the address was free")
		return app.ExitOK
	}
	if err != nil {
		fmt.Fprintln(out, "mastchute:", err)
		return app.ExitError
	}
	go func() { d.ended <- d.Loop.Run() }()
	log.Info().Str("name", f.Name).Str("listen", f.Listen).Float64("memory_mb", f.Limits.MemoryMB).Int("sockets", f.Limits.Sockets).
		Float64("cores", math.Round(f.Limits.Cores*100)/100).Msg("serving")
	for {
		select {
		case err := <-d.ended:
			if exit := d.Gateway.Exit(); err != nil || exit.Crash != "" {
				return app.ExitCrash
			}
			return app.ExitOK
		case <-dump:
			d.Loop.Post(func() { d.Gateway.Dump("signal") })
		case s := <-sig:
			if s != syscall.SIGHUP {
				d.Loop.Post(d.Stop)
				continue
			}
			n, err := ReadFile(path)
			if err != nil {
				log.Error().Err(err).Msg("configuration not read; the old one stays in force")
				continue
			}
			d.Loop.Post(func() { d.Reload(n) })
		}
	}
}
