package app

import (
	"math"
	"time"

	"mastchute/internal/config"
	"mastchute/internal/gateway"
	"mastchute/internal/lifecycle"
	"mastchute/internal/membership"
)

// reloadable holds the settings that a reload applies. config.Config.RestartRequired returns the others that differ.
var reloadable = []string{"workers", "models", "log.level", "log.sample", "roster.file"}

// reloader rereads the settings file and applies those settings that can change without a restart. It is owned by the
// goroutine that calls run.
type reloader struct {
	lifecycle.Reloader
	dispatcher *dispatcher
	file       string // settings file; if empty, a reload does nothing
	watcher    *workerFileWatcher

	areWorkersUnread bool // the gateway has other workers than the settings may list; owned by the event loop
}

func newReloader(d *dispatcher, file string, watcher *workerFileWatcher) *reloader {
	r := &reloader{dispatcher: d, file: file, watcher: watcher}
	r.Reload = r.reload
	r.LogFailure = r.logFailure
	return r
}

// reload reads the file and applies it. It returns an error if the file cannot be used.
func (r *reloader) reload() error {
	if r.file == "" {
		return nil
	}
	readAt := time.Now()
	cfg, workers, err := loadSettings(r.file)
	if err != nil {
		d := r.dispatcher
		d.loop.Post(func() { r.workersUnread(readAt) })
		return err
	}
	r.apply(cfg, workers, readAt)
	return nil
}

// workersUnread reports to the gateway that the workers in the settings may have changed since readAt, when reading them failed
// for the first time since they were last applied. It runs on the event loop.
func (r *reloader) workersUnread(readAt time.Time) {
	if r.areWorkersUnread {
		return
	}
	r.areWorkersUnread = true
	d := r.dispatcher
	d.gateway.EndpointListReadAt(membership.SourceConfig, d.loop.Clock()-time.Since(readAt).Seconds())
}

// workersApplied reports to the gateway that it has the workers in the settings. It runs on the event loop.
func (r *reloader) workersApplied() {
	r.areWorkersUnread = false
	r.dispatcher.gateway.EndpointListReadAt(membership.SourceConfig, math.Inf(1))
}

func (r *reloader) logFailure(err error) {
	r.dispatcher.log.Error().Err(err).Msg("settings not reloaded; previous settings stay in force")
}

func loadSettings(file string) (*config.Config, []membership.Entry, error) {
	cfg, err := config.Load(file)
	if err != nil {
		return nil, nil, err
	}
	workers, err := gateway.WorkerEntries(cfg.Workers)
	if err != nil {
		return nil, nil, err
	}
	return cfg, workers, nil
}

// apply passes the settings, which were read at readAt, to the gateway on the event loop, and the path of the worker file to its
// watcher.
func (r *reloader) apply(cfg *config.Config, workers []membership.Entry, readAt time.Time) {
	d := r.dispatcher
	log := withLevel(d.log, cfg.Log)
	d.log.Info().Strs("applied", reloadable).Strs("need_restart", d.cfg.RestartRequired(cfg)).Msg("settings reloaded")
	d.loop.Post(func() {
		err := d.gateway.ReplaceWorkers(membership.SourceConfig, workers)
		if err != nil {
			log.Error().Err(err).Msg("workers in the reloaded settings rejected")
			r.workersUnread(readAt)
		} else {
			r.workersApplied()
		}
		d.gateway.SetCatalogue(cfg.Models)
		d.gateway.SetLog(log, cfg.Log.Sample)
	})
	r.watcher.setFile(cfg.Discovery.WorkerFile)
	r.watcher.check()
}
