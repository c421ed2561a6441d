package app

import (
	"time"

	"github.com/rs/zerolog"

	"mastchute/control"
	"mastchute/internal/admin"
	"mastchute/internal/config"
	"mastchute/internal/eventloop"
	"mastchute/internal/gateway"
	"mastchute/internal/lifecycle"
)

const startRetryPeriod = 5.0 // s, for which a start is retried after transient errors

// dispatcher is a running dispatcher. Its fields are set before the event loop runs and do not change afterwards.
type dispatcher struct {
	gateway    *gateway.Gateway // owned by the event loop
	admin      *admin.Admin     // nil if the settings disable it
	loop       *eventloop.Loop
	cfg        *config.Config // at startup
	log        zerolog.Logger
	loopResult chan error // receives the event loop's error, once
}

// newDispatcher opens the dispatcher's listeners and starts its event loop and its admin interface, each on its own
// goroutine. If it returns an error, it has closed whatever it opened.
func newDispatcher(cfg *config.Config, log zerolog.Logger) (*dispatcher, error) {
	loop, err := eventloop.New(cfg.Limits.Connections)
	if err != nil {
		return nil, err
	}
	gw, err := gateway.NewHTTP(loop, cfg, log, newControlModule)
	if err != nil {
		loop.Close()
		return nil, err
	}
	d := &dispatcher{gateway: gw, loop: loop, cfg: cfg, log: log, loopResult: make(chan error, 1)}
	if cfg.Admin != "off" {
		d.admin, err = admin.New(gw, cfg.Admin)
		if err != nil {
			loop.Close()
			return nil, err
		}
		go d.admin.Serve()
	}
	go func() { d.loopResult <- loop.Run() }()
	return d, nil
}

func newControlModule(seed uint64, settings control.Settings, actions control.Actions) control.Module {
	return control.New(seed, settings, actions)
}

// startWithRetry starts a dispatcher and retries after transient errors. It returns lifecycle.ErrStopRequested if a
// stop signal arrives between two tries.
func startWithRetry(cfg *config.Config, log zerolog.Logger, signals *lifecycle.Signals) (*dispatcher, error) {
	backoff := lifecycle.NewBackoff(time.Now(), startRetryPeriod)
	for {
		d, err := newDispatcher(cfg, log)
		if err == nil || !lifecycle.IsTransient(err) {
			return d, err
		}
		switch signals.AwaitRetry(&backoff, lifecycle.MaxBackoffDelay, nil) {
		case lifecycle.RetriesExhausted:
			return nil, err
		case lifecycle.StopRequested:
			return nil, lifecycle.ErrStopRequested
		}
	}
}

// Stop starts a graceful shutdown: requests in flight have grace seconds to finish. A second call shortens the grace
// period. It is safe to call from any goroutine.
func (d *dispatcher) Stop(grace float64) { d.loop.Post(func() { d.gateway.Stop(grace) }) }

// shutDown closes the admin interface after the event loop has ended, and returns the exit code. loopErr is the loop's
// error.
func (d *dispatcher) shutDown(loopErr error) int {
	if d.admin != nil {
		d.admin.Close()
	}
	if loopErr != nil {
		d.log.Error().Err(loopErr).Msg("event loop failed")
		return ExitCrash
	}
	exit := d.gateway.ExitStatus()
	switch {
	case exit.PanicMessage != "":
		return ExitCrash
	case exit.CutOffRequests > 0:
		return ExitStopped
	}
	return ExitOK
}
