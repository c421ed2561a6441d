package control

// The modes that settings select by name. Each zero value is the strictest or the default mode, and stands for an unknown
// name.

// Effect is the effect of running a request twice.
type Effect uint8

// The effects, the strictest first.
const (
	NonRetriable Effect = iota // a second run is harmful
	Deduplicated               // workers drop a repeat within a scope and a time window
	Retriable                  // a second run is harmless
)

var effectNames = [...]string{"non-retriable", "deduped", "retriable"}

// String returns the effect as it is written in the settings.
func (e Effect) String() string { return effectNames[e] }

// ParseEffect returns the effect that a settings value names, and NonRetriable for an unknown value.
func ParseEffect(name string) Effect { return Effect(indexOfName(effectNames[:], name)) }

// DedupScope is the set of workers among which a repeated request is dropped.
type DedupScope uint8

// The scopes, the narrowest first.
const (
	ScopeNone DedupScope = iota
	ScopeCell            // the workers of one cell of a zone
	ScopeZone            // the workers of one zone
	ScopeAll             // all workers
)

var scopeNames = [...]string{"", "cell", "zone", "all"}

// String returns the scope as it is written in the settings.
func (s DedupScope) String() string { return scopeNames[s] }

// ParseDedupScope returns the scope that a settings value names, and ScopeNone for an unknown value.
func ParseDedupScope(name string) DedupScope { return DedupScope(indexOfName(scopeNames[:], name)) }

// DiscoveryMode is how a dispatcher receives changes to the endpoint list.
type DiscoveryMode uint8

// The discovery modes.
const (
	DiscoveryPush      DiscoveryMode = iota // changes arrive without a subscription
	DiscoverySubscribe                      // the dispatcher subscribes, and subscribes again after a failure
)

var discoveryNames = [...]string{"push", "ask"}

// String returns the mode as it is written in the settings.
func (m DiscoveryMode) String() string { return discoveryNames[m] }

// ParseDiscoveryMode returns the mode that a settings value names, and DiscoveryPush for an unknown value.
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

// String returns the policy as it is written in the settings.
func (p MissPolicy) String() string { return missNames[p] }

// ParseMissPolicy returns the policy that a settings value names, and MissLoads for an unknown value.
func ParseMissPolicy(name string) MissPolicy { return MissPolicy(indexOfName(missNames[:], name)) }

// indexOfName returns the index of a name, 0 for an unknown one.
func indexOfName(names []string, name string) int {
	for i, known := range names {
		if known == name {
			return i
		}
	}
	return 0
}
