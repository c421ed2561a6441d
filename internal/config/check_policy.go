package config

import "fmt"

func (c *checker) rules(rules *Rules) {
	c.duration("rules.drain_grace", rules.DrainGrace, 0, 60)
	c.between("rules.cold_share", rules.SlowStartCapacity, 0.01, 1, "")
	c.duration("rules.warm_after", rules.SlowStartDuration, 0, 3600)
	c.between("rules.overload_factor", rules.OverloadFactor, 1, 1000, "")
	c.duration("rules.fall", rules.OverloadWindow, 0.01, 3600)
	c.duration("rules.ask_every", rules.MaxDiscoveryBackoff, 0.1, 3600)
}

func (c *checker) loads(loads *Loads) {
	c.oneOf("loads.on_miss", loads.OnMiss, "load", "miss")
	if loads.OnMiss == "miss" && !loads.SendLoadRequests {
		c.report("loads.orders", "workers answer a miss and may not be ordered to load: nothing would ever be loaded; write orders: true or on_miss: load")
	}
	c.duration("loads.keep", loads.KeepAlive, 0, 86400)
	c.duration("loads.timeout", loads.Timeout, 0.1, 3600)
	c.duration("loads.window", loads.BudgetWindow, 0, 3600)
	c.loadBudget(loads)
	c.between("loads.few", loads.BudgetBase, 0, 1e9, "")
	c.between("loads.share", loads.BudgetPerRequest, 0, 1e3, "")
}

// loadBudget checks that a load budget has a window and allows at least some load requests.
func (c *checker) loadBudget(loads *Loads) {
	hasWindow := loads.BudgetWindow.Seconds > 0
	noneAllowed := loads.BudgetBase < 1 && loads.BudgetPerRequest <= 0
	hasBudget := loads.BudgetBase > 0 || loads.BudgetPerRequest > 0
	switch {
	case hasWindow && noneAllowed:
		c.report("loads.few", "a window without few or share forbids every load order: write few: 5 or share: 0.1, or no window")
	case loads.BudgetWindow.Seconds == 0 && hasBudget:
		c.report("loads.window", "few and share count within a window: write one, such as 10s")
	}
}

func (c *checker) attempts(attempts *Attempts) {
	c.between("forwards.most", float64(attempts.Max), 1, 8, "")
	c.between("forwards.probe_price", attempts.ProbePrice, 0, 1, "")
	c.duration("forwards.max_retry_after", attempts.MaxRetryAfter, 0, 3600)
}

func (c *checker) loadReport(fields []string) {
	for i, field := range fields {
		c.oneOf(fmt.Sprintf("load_report[%d]", i), field, "inflight", "queue", "util", "latency_ms", "qps", "eps", "x0", "x1")
	}
}
