package control

import "strconv"

// SettingValues are untyped settings by dotted name, each a float64, string, bool or ListLength. The name of a list entry
// holds its index, as in "groups.0.slo"; the name of the list itself, "groups", gives its length.
type SettingValues map[string]any

// ListLength is the length of a list in SettingValues. A float64 is accepted in its place.
type ListLength int

// Number returns the number or list length with the given name, and the fallback if there is none.
func (v SettingValues) Number(name string, fallback float64) float64 {
	switch value := v[name].(type) {
	case float64:
		return value
	case ListLength:
		return float64(value)
	}
	return fallback
}

// Text returns the string with the given name, and the empty string if there is none.
func (v SettingValues) Text(name string) string {
	text, _ := v[name].(string)
	return text
}

// ParseSettings returns the typed form of untyped settings, and ignores settings with unknown names. A value of the wrong
// type, or an unknown value of an enumerated setting, leaves its field at the default; Check and New report it as they do
// for typed settings.
func ParseSettings(values SettingValues) Settings {
	p := &settingsParser{values: values}
	s := Settings{
		Tick:        p.optional("tick"),
		Dispatchers: p.number("dispatchers"),
		Discovery: DiscoverySettings{
			Mode:       DiscoveryMode(p.enumIndex("discovery", discoveryNames[:])),
			MaxBackoff: p.number("rules.ask_every"),
		},
		SlowStart: SlowStartSettings{
			InitialCapacity: p.optional("rules.cold_share"),
			Duration:        p.number("rules.warm_after"),
			OverloadFactor:  p.number("rules.overload_factor"),
			OverloadWindow:  p.number("rules.fall"),
		},
		Loads: LoadSettings{
			OnMiss:          MissPolicy(p.enumIndex("models.on_miss", missNames[:])),
			RequestsAllowed: p.flag("models.orders"),
			KeepAlive:       p.optional("models.keep"),
			Window:          p.number("models.load_window"),
			Base:            p.number("models.load_few"),
			PerRequest:      p.number("models.load_share"),
		},
		Attempts: AttemptSettings{
			Max:     p.number("limits.max_attempts"),
			Hedging: p.flag("limits.hedging"),
			Cancel:  p.flag("limits.cancel"),
		},
		Probes: ProbeSettings{Allowed: p.flag("limits.probes"), Price: p.number("prices.probe")},
		RetryAfter: RetryAfterSettings{
			Allowed:    p.flag("limits.retry_after"),
			Max:        p.number("limits.max_retry_after"),
			Resolution: p.number("limits.retry_after_resolution"),
		},
	}
	for i := range p.length("load_report.fields") {
		s.LoadReportFields = append(s.LoadReportFields, values.Text("load_report.fields."+strconv.Itoa(i)))
	}
	s.Groups = p.groups()
	for i := range p.length("tenants") {
		s.Tenants = append(s.Tenants, TenantSettings{Quota: p.optional("tenants." + strconv.Itoa(i) + ".quota")})
	}
	s.malformed = p.malformed
	return s
}

// settingsParser converts values to the types of their settings, and collects the values that it can't convert.
type settingsParser struct {
	values    SettingValues
	malformed map[string]any
}

func (p *settingsParser) reject(name string, value any) {
	if p.malformed == nil {
		p.malformed = map[string]any{}
	}
	p.malformed[name] = value
}

// groups returns the model groups. The first one is parsed even if the length of the list is absent or malformed, because a
// dispatcher has at least one group.
func (p *settingsParser) groups() []GroupSettings {
	length := p.length("groups")
	var groups []GroupSettings
	for i := range max(1, length) {
		groups = append(groups, p.group("groups."+strconv.Itoa(i)+"."))
	}
	if length == 0 && groups[0] == (GroupSettings{}) {
		return nil
	}
	return groups
}

func (p *settingsParser) group(prefix string) GroupSettings {
	return GroupSettings{
		Effect:     Effect(p.enumIndex(prefix+"effect", effectNames[:])),
		Scope:      DedupScope(p.enumIndex(prefix+"scope", scopeNames[:])),
		Window:     p.number(prefix + "window"),
		SLO:        p.optional(prefix + "slo"),
		SLOStretch: p.number(prefix + "slo_stretch"),
		Timeout:    p.optional(prefix + "timeout"),
	}
}

func (p *settingsParser) optional(name string) Optional[float64] {
	value, present := p.values[name]
	if !present {
		return Optional[float64]{}
	}
	number, ok := value.(float64)
	if !ok {
		p.reject(name, value)
		return Optional[float64]{}
	}
	return Some(number)
}

func (p *settingsParser) number(name string) float64 { return p.optional(name).value }

func (p *settingsParser) flag(name string) bool {
	value, present := p.values[name]
	on, ok := value.(bool)
	if present && !ok {
		p.reject(name, value)
	}
	return on
}

// length returns the length of a list, 0 if it is absent or malformed.
func (p *settingsParser) length(name string) int {
	value, present := p.values[name]
	if !present {
		return 0
	}
	length := -1.0
	switch value := value.(type) {
	case ListLength:
		length = float64(value)
	case float64:
		length = value
	}
	if length >= 0 && length <= maxListLength {
		return int(length)
	}
	p.reject(name, value)
	return 0
}

// enumIndex returns the index of the value of an enumerated setting, 0 if it is absent or unknown.
func (p *settingsParser) enumIndex(name string, known []string) int {
	value, present := p.values[name]
	if !present {
		return 0
	}
	for i, candidate := range known {
		if value == candidate {
			return i
		}
	}
	p.reject(name, value)
	return 0
}
