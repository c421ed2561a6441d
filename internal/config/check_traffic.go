package config

import (
	"fmt"
	"math"
	"path"

	"mastchute/control"
)

const maxGroups = 256

// groups checks the model groups and returns their indexes by name.
func (c *checker) groups(groups []Group) map[string]int {
	if len(groups) == 0 {
		c.report("groups", "there is none: write at least one model group, with name, effect, slo and timeout")
	}
	c.between("groups", float64(len(groups)), 0, maxGroups, "")
	indexByName := map[string]int{}
	for i := range groups {
		prefix := fmt.Sprintf("groups[%d]", i)
		c.unique(prefix+".name", groups[i].Name, indexByName, i)
		c.group(prefix, &groups[i])
	}
	return indexByName
}

func (c *checker) group(prefix string, group *Group) {
	c.oneOf(prefix+".effect", group.Effect, "retriable", "deduped", "non-retriable")
	c.duration(prefix+".slo", group.SLO, 0.001, 3600)
	c.duration(prefix+".timeout", group.Timeout, 0.05, 3600)
	if group.SLO.Seconds > group.Timeout.Seconds {
		c.report(prefix+".slo", "%gs is longer than the timeout of %gs: nothing could be late", group.SLO.Seconds, group.Timeout.Seconds)
	}
	c.deduplication(prefix, group)
	c.between(prefix+".slo_stretch", group.SLOStretch, 0, 1e6, "")
	if group.ServiceWeight < 0 || math.IsNaN(group.ServiceWeight) {
		c.report(prefix+".value", "is negative or not a number: write a number of at least 0")
	}
}

// deduplication checks that scope and window are set for deduped groups, and only for these.
func (c *checker) deduplication(prefix string, group *Group) {
	if group.Effect != "deduped" {
		if group.DedupScope != "" || group.DedupWindow.Seconds > 0 {
			c.report(prefix+".effect", "scope and window are for deduped groups only: leave them out, or write effect: deduped")
		}
		return
	}
	c.oneOf(prefix+".scope", group.DedupScope, "all", "zone", "cell")
	if group.DedupWindow.Seconds <= 0 {
		c.report(prefix+".window", "is missing: write for how long workers drop a repeat, such as 4s")
	}
}

func (c *checker) tenants(tenants []Tenant) {
	indexByName := map[string]int{}
	for i, tenant := range tenants {
		prefix := fmt.Sprintf("tenants[%d]", i)
		c.unique(prefix+".name", tenant.Name, indexByName, i)
		c.between(prefix+".quota", tenant.Quota, 0, 1e9, "")
	}
}

// models checks the models. groups holds the indexes of the model groups by name.
func (c *checker) models(models []Model, groups map[string]int) {
	indexByName := map[string]int{}
	nameByID := map[control.ModelID]string{}
	for i, model := range models {
		prefix := fmt.Sprintf("models[%d]", i)
		c.unique(prefix+".name", model.Name, indexByName, i)
		if _, err := path.Match(model.Name, ""); err != nil {
			c.report(prefix+".name", "%q is no pattern: * stands for any run, ? for one character, [a-z] for a range", model.Name)
		}
		if _, known := groups[model.Group]; !known {
			c.report(prefix+".group", "%q is no model group of this file: write one of groups[].name", model.Group)
		}
		c.between(prefix+".lanes", model.Concurrency, 0, 1e6, "")
		checkUniqueID(c, prefix+".name", model.Name, ModelID(model.Name), nameByID)
	}
	if len(models) == 0 {
		c.report("models", "there is none: write name and group of each model, or of all by a pattern such as \"*\"")
	}
}

// checkUniqueID checks that the id of a name, which is a hash of it, is not also the id of another name.
func checkUniqueID[ID comparable](c *checker, settingPath, name string, id ID, nameByID map[ID]string) {
	if other, taken := nameByID[id]; taken && other != name {
		c.report(settingPath, "has the same id, a hash of the name, as %q: rename one of the two", other)
	}
	nameByID[id] = name
}
