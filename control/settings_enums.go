package control

// This file defines the enumerated settings. Each zero value is the strictest or the default one, and replaces an unknown
// value.

// Effect is the effect of running a request twice.
type Effect uint8

// The effects, in decreasing order of strictness.
const (
	NonRetriable Effect = iota // a second run is harmful
	Deduplicated               // workers drop a repeat within a scope and a time window
	Retriable                  // a second run is harmless
)

var effectNames = [...]string{"non-retriable", "deduped", "retriable"}

// String returns the effect's name in the settings.
func (e Effect) String() string { return effectNames[e] }

// ParseEffect returns the effect with the given name in the settings, and NonRetriable for an unknown name.
func ParseEffect(name string) Effect { return Effect(indexOfName(effectNames[:], name)) }

// DedupScope is the set of workers among which a repeated request is dropped.
type DedupScope uint8

// The scopes, the narrowest first.
const (
	ScopeNone DedupScope = iota // no workers: repeats are not dropped
	ScopeCell                   // the workers of one cell of a zone
	ScopeZone                   // the workers of one zone
	ScopeAll                    // all workers
)

var scopeNames = [...]string{"", "cell", "zone", "all"}

// String returns the scope's name in the settings.
func (s DedupScope) String() string { return scopeNames[s] }

// ParseDedupScope returns the scope with the given name in the settings, and ScopeNone for an unknown name.
func ParseDedupScope(name string) DedupScope { return DedupScope(indexOfName(scopeNames[:], name)) }

// DiscoveryMode is how a dispatcher receives changes to the endpoint list.
type DiscoveryMode uint8

// The discovery modes.
const (
	DiscoveryPush      DiscoveryMode = iota // changes arrive without a subscription
	DiscoverySubscribe                      // the dispatcher subscribes, and does so again after a failure
)

var discoveryNames = [...]string{"push", "ask"}

// String returns the mode's name in the settings.
func (m DiscoveryMode) String() string { return discoveryNames[m] }

// ParseDiscoveryMode returns the mode with the given name in the settings, and DiscoveryPush for an unknown name.
func ParseDiscoveryMode(name string) DiscoveryMode {
	return DiscoveryMode(indexOfName(discoveryNames[:], name))
}

// MissPolicy is what a worker does with a request whose model is not loaded there.
type MissPolicy uint8

// The miss policies.
const (
	MissLoads   MissPolicy = iota // the worker loads the model while the request waits
	MissRejects                   // the worker rejects the request; the dispatcher may send a load request
)

var missNames = [...]string{"load", "miss"}

// String returns the policy's name in the settings.
func (p MissPolicy) String() string { return missNames[p] }

// ParseMissPolicy returns the policy with the given name in the settings, and MissLoads for an unknown name.
func ParseMissPolicy(name string) MissPolicy { return MissPolicy(indexOfName(missNames[:], name)) }

// indexOfName returns the index of a name, 0 if it is unknown.
func indexOfName(names []string, name string) int {
	for i, known := range names {
		if known == name {
			return i
		}
	}
	return 0
}
