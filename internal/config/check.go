package config

import (
	"fmt"
	"math"
	"net/netip"
	"path"
	"slices"
	"strings"

	"mastchute/control"
)

// Check reports all faults of settings that stand at a path of a larger file, such as $.settings.
func (c *Config) Check(s *Source, at string) { c.check(s, at) }

const (
	mostGroups  = 256
	mostWorkers = 10000
)

// checker reports the faults of settings that stand at root.
type checker struct {
	*Source
	root string
}

func (k *checker) oneOf(path, v string, allowed ...string) {
	if !slices.Contains(allowed, v) {
		k.At(path, "%q is not known: write %s", v, strings.Join(allowed, ", "))
	}
}

func (k *checker) between(path string, v, low, high float64, unit string) {
	if !(v >= low && v <= high) {
		k.At(path, "%g%s is out of range: write %g%s to %g%s", v, unit, low, unit, high, unit)
	}
}

func (k *checker) span(path string, d Duration, low, high float64) {
	k.between(path, d.Seconds, low, high, "s")
}

func (c *Config) check(s *Source, root string) {
	k := &checker{Source: s, root: root}
	k.process(c)
	groups := k.groups(c.Groups)
	k.tenants(c.Tenants)
	k.models(c.Models, groups)
	k.discovery(c)
	k.rules(c)
	k.loads(c)
	k.attempts(c)
	k.limits(&c.Limits)
}

func (k *checker) process(c *Config) {
	for _, a := range []struct{ path, v string }{{k.root + ".listen", c.Listen}, {k.root + ".admin", c.Admin}} {
		if _, err := netip.ParseAddrPort(a.v); err != nil && !(a.path == k.root+".admin" && a.v == "off") {
			k.At(a.path, "%q is no address: write IP:PORT, such as 127.0.0.1:8080 or [::1]:8080", a.v)
		}
	}
	if c.Listen == c.Admin && !strings.HasSuffix(c.Listen, ":0") {
		k.At(k.root+".admin", "is the same address as listen: write another port, or off")
	}
	if !plain(c.Name) {
		k.At(k.root+".name", "%q: write letters, digits, dots, dashes and underscores only", c.Name)
	}
	k.between(k.root+".dispatchers", float64(c.Dispatchers), 1, 10000, "")
	k.span(k.root+".tick", c.Tick, 0.0001, 0.1)
	k.span(k.root+".stop_grace", c.StopGrace, 0, 3600)
	k.oneOf(k.root+".log.level", c.Log.Level, "debug", "info", "warn", "error")
	k.oneOf(k.root+".log.format", c.Log.Format, "json", "text")
	k.between(k.root+".log.sample", float64(c.Log.Sample), 0, 1e9, "")
}

func (k *checker) groups(list []Group) map[string]int {
	if len(list) == 0 {
		k.At(k.root+".groups", "there is none: write at least one model group, with name, effect, slo and timeout")
	}
	k.between(k.root+".groups", float64(len(list)), 0, mostGroups, "")
	groups := map[string]int{}
	for i := range list {
		g, at := &list[i], fmt.Sprintf("%s.groups[%d]", k.root, i)
		unique(k.Source, at+".name", g.Name, groups, i)
		k.oneOf(at+".effect", g.Effect, "retriable", "deduped", "non-retriable")
		k.span(at+".slo", g.SLO, 0.001, 3600)
		k.span(at+".timeout", g.Timeout, 0.05, 3600)
		if g.SLO.Seconds > g.Timeout.Seconds {
			k.At(at+".slo", "%gs is longer than the timeout of %gs: nothing could be late", g.SLO.Seconds, g.Timeout.Seconds)
		}
		if g.Effect == "deduped" {
			k.oneOf(at+".scope", g.Scope, "all", "zone", "cell")
			if g.Window.Seconds <= 0 {
				k.At(at+".window", "is missing: write for how long workers drop a repeat, such as 4s")
			}
		} else if g.Scope != "" || g.Window.Seconds > 0 {
			k.At(at+".effect", "scope and window are for deduped groups only: leave them out, or write effect: deduped")
		}
		k.between(at+".slo_stretch", g.Stretch, 0, 1e6, "")
		if g.Value < 0 || math.IsNaN(g.Value) {
			k.At(at+".value", "write a number that is not negative")
		}
	}
	return groups
}

func (k *checker) tenants(list []Tenant) {
	names := map[string]int{}
	for i, t := range list {
		at := fmt.Sprintf("%s.tenants[%d]", k.root, i)
		unique(k.Source, at+".name", t.Name, names, i)
		k.between(at+".quota", t.Quota, 0, 1e9, "")
	}
}

func (k *checker) models(list []Model, groups map[string]int) {
	names, ids := map[string]int{}, map[control.ModelID]string{}
	for i, m := range list {
		at := fmt.Sprintf("%s.models[%d]", k.root, i)
		unique(k.Source, at+".name", m.Name, names, i)
		if _, err := path.Match(m.Name, ""); err != nil {
			k.At(at+".name", "%q is no pattern: * stands for any run, ? for one character, [a-z] for a range", m.Name)
		}
		if _, ok := groups[m.Group]; !ok {
			k.At(at+".group", "%q is no model group of this file: write one of groups[].name", m.Group)
		}
		k.between(at+".lanes", m.Lanes, 0, 1e6, "")
		if other, ok := ids[ModelID(m.Name)]; ok && other != m.Name {
			k.At(at+".name", "its id is that of %q by chance: rename one", other)
		}
		ids[ModelID(m.Name)] = m.Name
	}
	if len(list) == 0 {
		k.At(k.root+".models", "there is none: write name and group of each model, or of all by a pattern such as \"*\"")
	}
}

func (k *checker) discovery(c *Config) {
	checkWorkers(k.Source, k.root, c.Workers)
	if len(c.Workers) == 0 && c.Roster.File == "" && c.Admin == "off" {
		k.At(k.root+".workers", "there is none, and no roster.file or admin interface to learn of any")
	}
	k.oneOf(k.root+".roster.discovery", c.Roster.Discovery, "push", "ask")
	k.span(k.root+".roster.every", c.Roster.Every, 0.05, 3600)
}

func (k *checker) rules(c *Config) {
	k.span(k.root+".rules.drain_grace", c.Rules.DrainGrace, 0, 60)
	k.between(k.root+".rules.cold_share", c.Rules.ColdShare, 0.01, 1, "")
	k.span(k.root+".rules.warm_after", c.Rules.WarmAfter, 0, 3600)
	k.between(k.root+".rules.overload_factor", c.Rules.OverloadFactor, 1, 1000, "")
	k.span(k.root+".rules.fall", c.Rules.Fall, 0.01, 3600)
	k.span(k.root+".rules.ask_every", c.Rules.AskEvery, 0.1, 3600)
}

func (k *checker) loads(c *Config) {
	k.oneOf(k.root+".loads.on_miss", c.Loads.OnMiss, "load", "miss")
	if c.Loads.OnMiss == "miss" && !c.Loads.Orders {
		k.At(k.root+".loads.orders", "workers answer a miss and may not be ordered to load: nothing would ever be loaded; write orders: true or on_miss: load")
	}
	k.span(k.root+".loads.keep", c.Loads.Keep, 0, 86400)
	k.span(k.root+".loads.timeout", c.Loads.Timeout, 0.1, 3600)
	k.span(k.root+".loads.window", c.Loads.Window, 0, 3600)
	if c.Loads.Window.Seconds > 0 && c.Loads.Few < 1 && c.Loads.Share <= 0 {
		k.At(k.root+".loads.few", "a window without few or share forbids every load order: write few: 5 or share: 0.1, or no window")
	} else if c.Loads.Window.Seconds == 0 && (c.Loads.Few > 0 || c.Loads.Share > 0) {
		k.At(k.root+".loads.window", "few and share count within a window: write one, such as 10s")
	}
	k.between(k.root+".loads.few", c.Loads.Few, 0, 1e9, "")
	k.between(k.root+".loads.share", c.Loads.Share, 0, 1e3, "")
}

func (k *checker) attempts(c *Config) {
	k.between(k.root+".forwards.most", float64(c.Attempts.Most), 1, 8, "")
	k.between(k.root+".forwards.probe_price", c.Attempts.ProbePrice, 0, 1, "")
	k.span(k.root+".forwards.max_retry_after", c.Attempts.MaxRetryAfter, 0, 3600)
	for i, f := range c.Report {
		k.oneOf(fmt.Sprintf("%s.load_report[%d]", k.root, i), f, "inflight", "queue", "util", "latency_ms", "qps", "eps", "x0", "x1")
	}
}

func (k *checker) limits(l *Limits) {
	k.between(k.root+".limits.connections", float64(l.Connections), 1, 1e6, "")
	k.between(k.root+".limits.inferences", float64(l.Requests), 1, 1e6, "")
	k.between(k.root+".limits.worker_connections", float64(l.WorkerConnections), 1, 1e5, "")
	k.between(k.root+".limits.worker_idle", float64(l.WorkerIdle), 1, 1e5, "")
	for _, z := range []struct {
		path string
		v    Size
		low  int64
	}{{"body", l.Body, 1}, {"memory", l.Memory, 1 << 16}, {"answer", l.Answer, 1024}, {"head", l.Head, 1024}} {
		k.between(k.root+".limits."+z.path, float64(z.v.Bytes), float64(z.low), 1<<40, "B")
	}
	if l.Body.Bytes > l.Memory.Bytes {
		k.At(k.root+".limits.body", "one body may be larger than the memory for all: write a smaller body or more memory")
	}
	k.span(k.root+".limits.idle_timeout", l.IdleTimeout, 0.1, 3600)
	k.span(k.root+".limits.head_timeout", l.HeadTimeout, 0.1, 3600)
	k.span(k.root+".limits.body_timeout", l.BodyTimeout, 0.1, 3600)
	k.span(k.root+".limits.worker_idle_timeout", l.WorkerIdleTimeout, 0.1, 3600)
	k.span(k.root+".limits.connect_timeout", l.ConnectTimeout, 0.001, 60)
}

func checkWorkers(s *Source, root string, workers []Worker) {
	names, addrs, ids := map[string]int{}, map[string]int{}, map[control.WorkerID]string{}
	if len(workers) > mostWorkers {
		s.At(root+".workers", "%d are too many: %d at most", len(workers), mostWorkers)
	}
	for i, w := range workers {
		at := fmt.Sprintf("%s.workers[%d]", root, i)
		unique(s, at+".name", w.Name, names, i)
		if _, err := netip.ParseAddrPort(w.Address); err != nil {
			s.At(at+".address", "%q is no address: write IP:PORT, such as 127.0.0.1:9001", w.Address)
		} else {
			unique(s, at+".address", w.Address, addrs, i)
		}
		if !slices.Contains([]string{"", "ready", "draining", "gone"}, w.State) {
			s.At(at+".state", "%q is not known: write ready, draining, gone", w.State)
		}
		if other, ok := ids[WorkerID(w.Name)]; ok && other != w.Name {
			s.At(at+".name", "its id is that of %q by chance: rename one", other)
		}
		ids[WorkerID(w.Name)] = w.Name
	}
}

func unique(s *Source, path, v string, seen map[string]int, i int) {
	if v == "" {
		s.At(path, "is missing: each needs one of its own")
	} else if j, ok := seen[v]; ok {
		s.At(path, "%q is taken by entry %d already: write another", v, j+1)
	} else {
		seen[v] = i
	}
}

func plain(name string) bool {
	for _, c := range name {
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '.' || c == '-' || c == '_') {
			return false
		}
	}
	return name != ""
}
