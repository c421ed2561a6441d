package app

import (
	"time"

	"mastchute/internal/config"
	"mastchute/internal/gateway"
	"mastchute/internal/lifecycle"
	"mastchute/internal/membership"
)

const reloadRetrySpan = 10.0 // s for which a reload that failed is retried

// reloadable are the settings that a reload applies; config.Config.RestartRequired names the others that differ.
var reloadable = []string{"workers", "models", "log.level", "log.sample", "roster.file"}

// reloader reads the settings file again and applies what can change in service. A file that cannot be used changes
// nothing; since it may be incomplete while it is being written, it is read again for a while. The goroutine of
// run owns it.
type reloader struct {
	dispatcher *dispatcher
	file       string // empty: there is nothing to reload
	watcher    *workerFileWatcher

	backoff    lifecycle.Retry
	retryTimer <-chan time.Time // nil while no retry is due
	lastError  string           // the failure logged last: each is logged once, not at every retry
}

// start begins a reload, with retries of its own.
func (r *reloader) start() {
	r.backoff = lifecycle.NewRetry(time.Now(), reloadRetrySpan)
	r.attempt()
}

// attempt reads the file once. It sets the retry timer if the file cannot be used.
func (r *reloader) attempt() {
	r.retryTimer = nil
	if r.file == "" {
		return
	}
	cfg, workers, err := loadSettings(r.file)
	if err != nil {
		r.scheduleRetry(err)
		return
	}
	r.lastError = ""
	r.apply(cfg, workers)
}

func loadSettings(file string) (*config.Config, []membership.Entry, error) {
	cfg, err := config.Load(file)
	if err != nil {
		return nil, nil, err
	}
	workers, err := gateway.MembershipEntries(cfg.Workers)
	if err != nil {
		return nil, nil, err
	}
	return cfg, workers, nil
}

func (r *reloader) scheduleRetry(err error) {
	if message := err.Error(); message != r.lastError {
		r.lastError = message
		r.dispatcher.log.Error().Err(err).Msg("settings not reloaded; previous settings stay in force")
	}
	delay, ok := r.backoff.Next(time.Now())
	if !ok {
		r.lastError = ""
		return
	}
	r.retryTimer = time.After(delay)
}

func (r *reloader) apply(cfg *config.Config, workers []membership.Entry) {
	d := r.dispatcher
	log := withLevel(d.log, cfg.Log)
	d.log.Info().Strs("applied", reloadable).Strs("need_restart", d.cfg.RestartRequired(cfg)).Msg("settings reloaded")
	d.loop.Post(func() {
		err := d.gateway.ReplaceWorkers(membership.SourceConfig, workers)
		if err != nil {
			log.Error().Err(err).Msg("workers of the settings rejected")
		}
		d.gateway.SetModels(cfg.Models)
		d.gateway.SetLog(log, cfg.Log.Sample)
	})
	r.watcher.file = cfg.Roster.File
	r.watcher.check()
}
