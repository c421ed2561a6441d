package control

import (
	"math"
	"strconv"
)

// The settings are read once: looking names up costs more than deciding. One that is missing has the default
// that stands here; one that can't be used has it too, and is reported by Check and in the log.

func read(from Settings) (settings, *settingsReader) {
	r := &settingsReader{from: from}
	s := settings{tick: r.number("tick", 0.001, 0, 1), askEvery: r.span("rules.ask_every", 10),
		fall: r.span("rules.fall", 1), warmAfter: r.number("rules.warm_after", 0, 0, never),
		coldShare: math.Max(coldLeast, r.number("rules.cold_share", coldUntold, 0, 1)),
		overload:  r.number("rules.overload_factor", 1, coldLeast, never),
		keep:      r.number("models.keep", never, 0, never), // until a miss or a new start says otherwise
		window:    r.number("models.load_window", 0, 0, never), few: r.number("models.load_few", 0, 0, never),
		share: r.number("models.load_share", 0, 0, never), dispatchers: r.number("dispatchers", 1, 1, 1<<16),
		second: r.flag("limits.second_copies"), cancel: r.flag("limits.cancel"), probes: r.flag("limits.probes"),
		asked: r.word("discovery", "push", "ask") == "ask"}
	s.most = min(maxForwards, int(r.number("limits.max_forwards", 1, 1, 1<<16)))
	s.homes = int(math.Min(probeHomes, probeWorth/math.Max(1e-9, r.number("prices.probe", 0, 0, never))))
	if r.flag("limits.retry_after") {
		s.retryMost = r.number("limits.max_retry_after", 0, 0, never)
	}
	s.orders = r.flag("models.orders") && r.word("models.on_miss", "load", "miss") == "miss"
	for i := range r.count("load_report.fields") {
		if f := from.Text("load_report.fields." + strconv.Itoa(i)); f == "inflight" || f == "queue" {
			s.counts = append(s.counts, i)
		}
	}
	for i := range max(1, r.count("groups")) { // where none is told there is one, of the strictest kind
		s.groups = append(s.groups, r.group("groups."+strconv.Itoa(i)+"."))
	}
	for i := range r.count("tenants") {
		s.quotas = append(s.quotas, r.number("tenants."+strconv.Itoa(i)+".quota", never, 0, never))
	}
	return s, r
}

func (r *settingsReader) group(at string) *modelGroup {
	g := &modelGroup{effect: r.word(at+"effect", "non-retriable", "retriable", "deduped"), load: firstLoad,
		scope: r.word(at+"scope", "", "all", "zone", "cell"), slo: r.span(at+"slo", 1),
		timeout: r.span(at+"timeout", timeoutUntold), window: r.number(at+"window", 0, 0, never),
		stretch: r.number(at+"slo_stretch", 0, 0, never)}
	g.run, g.work = firstRun*g.slo, firstRun*g.slo
	return g
}
