package config

import (
	"fmt"
	"slices"

	"mastchute/control"
)

const maxWorkers = 10000

// discovery checks the sources of the endpoint list. There must be at least one.
func (c *checker) discovery(cfg *Config) {
	c.workers(cfg.Workers)
	if len(cfg.Workers) == 0 && cfg.Discovery.WorkerFile == "" && cfg.Admin == "off" {
		c.report("workers", "there is none, and no roster.file or admin interface to learn of any")
	}
	c.oneOf("roster.discovery", cfg.Discovery.Mode, "push", "ask")
	c.duration("roster.every", cfg.Discovery.PollInterval, 0.05, 3600)
	c.duration("roster.delay", cfg.Discovery.MaxDelay, 0, 3600)
}

// workers checks the workers of a settings file or of a worker file.
func (c *checker) workers(workers []Worker) {
	if len(workers) > maxWorkers {
		c.report("workers", "%d workers are too many: write at most %d", len(workers), maxWorkers)
	}
	indexByName := map[string]int{}
	indexByAddress := map[string]int{}
	nameByID := map[control.WorkerID]string{}
	for i, worker := range workers {
		prefix := fmt.Sprintf("workers[%d]", i)
		c.unique(prefix+".name", worker.Name, indexByName, i)
		if isAddress(worker.Address) {
			c.unique(prefix+".address", worker.Address, indexByAddress, i)
		} else {
			c.report(prefix+".address", "%q is no address: write IP:PORT, such as 127.0.0.1:9001", worker.Address)
		}
		if !slices.Contains([]string{"", "ready", "draining", "gone"}, worker.State) {
			c.report(prefix+".state", "%q is not known: write ready, draining, gone", worker.State)
		}
		checkUniqueID(c, prefix+".name", worker.Name, WorkerID(worker.Name), nameByID)
	}
}
