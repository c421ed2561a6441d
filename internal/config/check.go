package config

import (
	"net/netip"
	"slices"
	"strings"
)

const maxSizeSetting = 1 << 40 // bytes: exceeds any machine's memory, so a larger size is a mistake

// Check reports every problem of the settings to source. path is the YAML path of the settings in source, such as $ or
// $.settings.
func (c *Config) Check(source *Source, path string) {
	check := &checker{source: source, root: path}
	check.process(c)
	check.log(&c.Log)
	groups := check.groups(c.Groups)
	check.tenants(c.Tenants)
	check.models(c.Models, groups)
	check.discovery(c)
	check.rules(&c.Rules)
	check.loads(&c.Loads)
	check.attempts(&c.Attempts)
	check.loadReport(c.LoadReportFields)
	check.limits(&c.Limits)
}

// checker reports the problems of the settings at root, a YAML path in source. Its methods take paths relative to root,
// such as groups[0].slo.
type checker struct {
	source *Source
	root   string
}

func (c *checker) report(path, format string, args ...any) {
	c.source.AddProblem(c.root+"."+path, format, args...)
}

func (c *checker) oneOf(path, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.report(path, "%q is not known: write %s", value, strings.Join(allowed, ", "))
	}
}

// between checks that low <= value <= high. A NaN is out of range.
func (c *checker) between(path string, value, low, high float64, unit string) {
	if !(value >= low && value <= high) {
		c.report(path, "%g%s is out of range: write %g%s to %g%s", value, unit, low, unit, high, unit)
	}
}

func (c *checker) duration(path string, value Duration, low, high float64) {
	c.between(path, value.Seconds, low, high, "s")
}

func (c *checker) size(path string, value Size, low float64) {
	c.between(path, float64(value.Bytes), low, maxSizeSetting, "B")
}

// unique checks that the value of list entry i is not empty and differs from the values of earlier entries. seen holds
// the indexes of those entries by value; a valid entry i is added to it.
func (c *checker) unique(path, value string, seen map[string]int, i int) {
	if value == "" {
		c.report(path, "is missing: each needs one of its own")
		return
	}
	if earlier, taken := seen[value]; taken {
		c.report(path, "%q is taken by entry %d already: write another", value, earlier+1)
		return
	}
	seen[value] = i
}

// isAddress reports whether text is an IP address with a port.
func isAddress(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}
