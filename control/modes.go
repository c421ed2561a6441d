package control

// The modes that settings choose by a word. Each type's zero value is the strictest or the usual mode, so that a word
// that is not known falls back to it.

// Effect says what running a request twice does.
type Effect uint8

// The effects, the strictest first.
const (
	NonRetriable Effect = iota // a second run does harm
	Deduplicated               // workers drop a repeat, within a scope and a time window
	Retriable                  // a second run does no harm
)

var effectWords = [...]string{"non-retriable", "deduped", "retriable"}

// String returns the effect as the settings write it.
func (e Effect) String() string { return effectWords[e] }

// ParseEffect returns the effect that a settings word names, and NonRetriable for an unknown word.
func ParseEffect(word string) Effect { return Effect(wordIndex(effectWords[:], word)) }

// DedupScope says among which workers a repeat of a request is dropped.
type DedupScope uint8

// The scopes, the narrowest first.
const (
	ScopeNone DedupScope = iota
	ScopeCell            // the workers of one cell of a zone
	ScopeZone            // the workers of one zone
	ScopeAll             // all workers
)

var scopeWords = [...]string{"", "cell", "zone", "all"}

// String returns the scope as the settings write it.
func (s DedupScope) String() string { return scopeWords[s] }

// ParseDedupScope returns the scope that a settings word names, and ScopeNone for an unknown word.
func ParseDedupScope(word string) DedupScope { return DedupScope(wordIndex(scopeWords[:], word)) }

// DiscoveryMode says how a dispatcher learns of changes to the list of workers.
type DiscoveryMode uint8

// The discovery modes.
const (
	DiscoveryPush      DiscoveryMode = iota // changes arrive without a subscription
	DiscoverySubscribe                      // the dispatcher subscribes, and again after a failure
)

var discoveryWords = [...]string{"push", "ask"}

// String returns the mode as the settings write it.
func (m DiscoveryMode) String() string { return discoveryWords[m] }

// ParseDiscoveryMode returns the mode that a settings word names, and DiscoveryPush for an unknown word.
func ParseDiscoveryMode(word string) DiscoveryMode {
	return DiscoveryMode(wordIndex(discoveryWords[:], word))
}

// MissPolicy says what a worker does with a request whose model it does not hold.
type MissPolicy uint8

// The miss policies.
const (
	MissLoads   MissPolicy = iota // it loads the model while the request waits
	MissRejects                   // it rejects the request; the dispatcher may order a load
)

var missWords = [...]string{"load", "miss"}

// String returns the policy as the settings write it.
func (p MissPolicy) String() string { return missWords[p] }

// ParseMissPolicy returns the policy that a settings word names, and MissLoads for an unknown word.
func ParseMissPolicy(word string) MissPolicy { return MissPolicy(wordIndex(missWords[:], word)) }

// wordIndex returns the index of a word, 0 where it is not listed.
func wordIndex(words []string, word string) int {
	for i, w := range words {
		if w == word {
			return i
		}
	}
	return 0
}
