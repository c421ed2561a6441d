package gateway

import (
	"errors"
	"fmt"
	"path"

	"mastchute/control"
	"mastchute/internal/config"
)

const (
	defaultMaxModels = 100_000 // models cached; further names are rejected, so that clients cannot fill the memory with them
	modelIdleTimeout = 300.0   // s after which a model that is not requested may be evicted; its id is the same when it returns
)

// ErrTooManyModels is returned for a new model name while the cache is full of models in flight or in recent use.
var ErrTooManyModels = errors.New("too many model names were seen")

// errUnknownModel is returned for a model name that no entry of the catalogue matches.
var errUnknownModel = errors.New("no such model in the catalogue")

// ModelIDCollisionError is returned for a model name whose id is the hash of another cached name too.
type ModelIDCollisionError struct {
	Existing string // the cached name
}

// Error implements error.
func (e *ModelIDCollisionError) Error() string {
	return fmt.Sprintf("its id is that of model %s by chance", e.Existing)
}

// newGroupError is returned for a model whose group came with a reload: groups are set up at start.
type newGroupError struct{ group string }

func (e *newGroupError) Error() string {
	return fmt.Sprintf("its model group %s is new: restart to use it", e.group)
}

// Model is a model by its name. In the figures 0 means that it is not known.
type Model struct {
	Name        string
	ID          control.ModelID
	Group       int     // index of its model group in the settings
	MemoryMB    float64 // of a replica
	Concurrency float64 // requests that a replica serves at once
	LoadSeconds float64 // time to load a replica

	group      *group
	lastUsed   float64 // loop time of its latest request
	inFlight   int     // requests and control calls in flight that refer to it
	prev, next *Model  // in the order of use
}

// modelCache holds the models in recent use. ring is the head of a list of them in the order of their last use: its next
// is the least recently used.
type modelCache struct {
	byName map[string]*Model
	byID   map[control.ModelID]*Model
	ring   Model
}

func (c *modelCache) init() {
	c.byName = map[string]*Model{}
	c.byID = map[control.ModelID]*Model{}
	c.ring.next = &c.ring
	c.ring.prev = &c.ring
}

func (c *modelCache) unlink(m *Model) {
	m.prev.next = m.next
	m.next.prev = m.prev
}

// touch makes a model the most recently used.
func (c *modelCache) touch(m *Model, now float64) {
	if m.next != nil {
		c.unlink(m)
	}
	m.lastUsed = now
	m.prev = c.ring.prev
	m.next = &c.ring
	m.prev.next = m
	c.ring.prev = m
}

// evict drops the models last used before a time and, while the cache holds limit models or more, further ones in the
// order of their last use. Models in flight stay.
func (c *modelCache) evict(since float64, limit int) {
	m := c.ring.next
	for m != &c.ring && (m.lastUsed < since || len(c.byID) >= limit) {
		next := m.next
		if m.inFlight == 0 {
			c.unlink(m)
			delete(c.byName, m.Name)
			delete(c.byID, m.ID)
		}
		m = next
	}
}

// resolveModel returns the model of a name, from the cache or by the catalogue. It returns errUnknownModel if the
// catalogue has no entry for it.
func (g *Gateway) resolveModel(name []byte) (*Model, error) {
	if m := g.FindModel(name); m != nil {
		return m, nil
	}
	for i := range g.cfg.Models {
		entry := &g.cfg.Models[i]
		if !matchesPattern(entry.Name, string(name)) {
			continue
		}
		for index, group := range g.groups {
			if group.Name == entry.Group {
				return g.AddModel(Model{Name: string(name), ID: config.ModelID(string(name)), Group: index,
					MemoryMB: entry.Memory.MB(), Concurrency: entry.Lanes, LoadSeconds: entry.Load.Seconds})
			}
		}
		return nil, &newGroupError{entry.Group}
	}
	return nil, errUnknownModel
}

func matchesPattern(pattern, name string) bool {
	ok, err := path.Match(pattern, name)
	return ok && err == nil
}

// FindModel returns a cached model by its name, nil if there is none.
func (g *Gateway) FindModel(name []byte) *Model {
	m := g.models.byName[string(name)]
	if m != nil {
		g.models.touch(m, g.Loop.Now())
	}
	return m
}

// AddModel adds a model to the cache, or updates the cached model of the same id and name. The error is ErrTooManyModels
// or a *ModelIDCollisionError.
func (g *Gateway) AddModel(model Model) (*Model, error) {
	now := g.Loop.Now()
	g.models.evict(now-modelIdleTimeout, g.maxModels)
	m := g.models.byID[model.ID]
	if m != nil && m.Name != model.Name {
		return nil, &ModelIDCollisionError{Existing: m.Name}
	}
	if m == nil {
		if len(g.models.byID) >= g.maxModels {
			return nil, ErrTooManyModels
		}
		m = &Model{Name: model.Name, ID: model.ID}
		g.models.byID[m.ID] = m
	}
	m.Group = model.Group
	m.MemoryMB = model.MemoryMB
	m.Concurrency = model.Concurrency
	m.LoadSeconds = model.LoadSeconds
	m.group = g.groups[model.Group]
	g.models.byName[m.Name] = m
	g.models.touch(m, now)
	return m, nil
}

// SetModels replaces the catalogue. Cached models are resolved anew at their next request; their ids stay.
func (g *Gateway) SetModels(catalogue []config.Model) {
	g.cfg.Models = catalogue
	clear(g.models.byName)
}
