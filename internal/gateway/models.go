package gateway

import (
	"errors"
	"fmt"
	"path"

	"mastchute/control"
	"mastchute/internal/config"
)

const (
	defaultMaxModels = 100_000 // cached models; further names are rejected, so that clients cannot exhaust the memory
	modelIdleTimeout = 300.0   // s without a request after which a model is evicted; if requested again, it gets the same id
)

// ErrTooManyModels is returned for a new model name while the cache is full of models that are in flight or were used
// recently.
var ErrTooManyModels = errors.New("too many model names were seen")

// errUnknownModel is returned for a model name that no entry of the catalogue matches.
var errUnknownModel = errors.New("no such model in the catalogue")

// ModelIDCollisionError is returned for a model name whose id, a hash of the name, equals that of another cached name.
type ModelIDCollisionError struct {
	Existing string // the cached name
}

// Error implements error.
func (e *ModelIDCollisionError) Error() string {
	return fmt.Sprintf("its id is that of model %s by chance", e.Existing)
}

// newGroupError is returned for a model whose group was added by a reload: groups are only set up at the start.
type newGroupError struct{ group string }

func (e *newGroupError) Error() string {
	return fmt.Sprintf("its model group %s is new: restart to use it", e.group)
}

// Model is a model that clients request by its name. Numbers are 0 if they are not known.
type Model struct {
	Name        string
	ID          control.ModelID
	Group       int     // index of its model group in the settings
	MemoryMB    float64 // memory of a replica
	Concurrency float64 // requests that a replica serves concurrently
	LoadSeconds float64 // time to load a replica

	group      *group
	lastUsed   float64 // loop time of its latest request
	inFlight   int     // requests and worker commands in flight that refer to it
	prev, next *Model  // in the list of modelCache
}

// modelCache is an LRU cache of models. lruHead is the sentinel of a circular list in the order of last use: lruHead.next is
// the least recently used model, lruHead.prev the most recently used one.
type modelCache struct {
	byName  map[string]*Model
	byID    map[control.ModelID]*Model
	lruHead Model
}

func (c *modelCache) init() {
	c.byName = map[string]*Model{}
	c.byID = map[control.ModelID]*Model{}
	c.lruHead.next = &c.lruHead
	c.lruHead.prev = &c.lruHead
}

func (c *modelCache) unlink(model *Model) {
	model.prev.next = model.next
	model.next.prev = model.prev
}

// touch makes a model the most recently used.
func (c *modelCache) touch(model *Model, now float64) {
	if model.next != nil {
		c.unlink(model)
	}
	model.lastUsed = now
	model.prev = c.lruHead.prev
	model.next = &c.lruHead
	model.prev.next = model
	c.lruHead.prev = model
}

// evict removes the models last used before the given time and, while the cache holds limit models or more, further ones,
// least recently used first. It keeps models that have requests or worker commands in flight.
func (c *modelCache) evict(before float64, limit int) {
	model := c.lruHead.next
	for model != &c.lruHead && (model.lastUsed < before || len(c.byID) >= limit) {
		next := model.next
		if model.inFlight == 0 {
			c.unlink(model)
			delete(c.byName, model.Name)
			delete(c.byID, model.ID)
		}
		model = next
	}
}

// resolveModel returns a model by its name, from the cache or the catalogue. It returns errUnknownModel if no entry of the
// catalogue matches the name.
func (g *Gateway) resolveModel(name []byte) (*Model, error) {
	cached := g.FindModel(name)
	if cached != nil {
		return cached, nil
	}
	for i := range g.cfg.Models {
		entry := &g.cfg.Models[i]
		if !matchesPattern(entry.Name, string(name)) {
			continue
		}
		for index, group := range g.groups {
			if group.Name == entry.Group {
				return g.AddModel(Model{Name: string(name), ID: config.ModelID(string(name)), Group: index,
					MemoryMB: entry.Memory.MB(), Concurrency: entry.Concurrency, LoadSeconds: entry.LoadTime.Seconds})
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
	cached := g.models.byName[string(name)]
	if cached != nil {
		g.models.touch(cached, g.Loop.Now())
	}
	return cached
}

// AddModel adds a model to the cache, or updates the cached model of the same id and name. The error is ErrTooManyModels
// or a *ModelIDCollisionError.
func (g *Gateway) AddModel(model Model) (*Model, error) {
	now := g.Loop.Now()
	g.models.evict(now-modelIdleTimeout, g.maxModels)
	cached := g.models.byID[model.ID]
	if cached != nil && cached.Name != model.Name {
		return nil, &ModelIDCollisionError{Existing: cached.Name}
	}
	if cached == nil {
		if len(g.models.byID) >= g.maxModels {
			return nil, ErrTooManyModels
		}
		cached = &Model{Name: model.Name, ID: model.ID}
		g.models.byID[cached.ID] = cached
	}
	cached.Group = model.Group
	cached.MemoryMB = model.MemoryMB
	cached.Concurrency = model.Concurrency
	cached.LoadSeconds = model.LoadSeconds
	cached.group = g.groups[model.Group]
	g.models.byName[cached.Name] = cached
	g.models.touch(cached, now)
	return cached, nil
}

// SetCatalogue replaces the catalogue. Cached models are resolved again on their next request, and keep their ids.
func (g *Gateway) SetCatalogue(catalogue []config.Model) {
	g.cfg.Models = catalogue
	clear(g.models.byName)
}
