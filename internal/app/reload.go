package app

import (
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
	cfg, workers, err := loadSettings(r.file)
	if err != nil {
		return err
	}
	r.apply(cfg, workers)
	return nil
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

// apply passes the settings to the gateway on the event loop, and the path of the worker file to its watcher.
func (r *reloader) apply(cfg *config.Config, workers []membership.Entry) {
	d := r.dispatcher
	log := withLevel(d.log, cfg.Log)
	d.log.Info().Strs("applied", reloadable).Strs("need_restart", d.cfg.RestartRequired(cfg)).Msg("settings reloaded")
	d.loop.Post(func() {
		err := d.gateway.ReplaceWorkers(membership.SourceConfig, workers)
		if err != nil {
			log.Error().Err(err).Msg("workers in the reloaded settings rejected")
		}
		d.gateway.SetCatalogue(cfg.Models)
		d.gateway.SetLog(log, cfg.Log.Sample)
	})
	r.watcher.file = cfg.Discovery.WorkerFile
	r.watcher.check()
}
