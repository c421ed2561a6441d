package gateway

import (
	"fmt"

	"mastchute/control"
	"mastchute/internal/config"
)

const (
	defaultMaxModels = 100_000 // models kept; more are refused, so that clients cannot fill the memory with names
	modelIdleTimeout = 300.0   // s after which a model nobody asks for is forgotten; its id is the same when it comes back
)

// Model is one model by name. Memory is in MB, Load in seconds; 0 where not told.
type Model struct {
	Name   string
	ID     control.ModelID
	Group  int
	Memory float64
	Lanes  float64
	Load   float64

	group      *group
	lastUsed   float64 // when it was asked for last
	inFlight   int     // requests and orders in flight that name it
	prev, next *Model  // in the order of use
}

// modelCache are those in use of late, by name and id, in the order of their last use.
type modelCache struct {
	byName map[string]*Model
	byID   map[control.ModelID]*Model
	ring   Model // the ring's own place: next is the one used longest ago
}

func (s *modelCache) init() {
	s.byName, s.byID = map[string]*Model{}, map[control.ModelID]*Model{}
	s.ring.next, s.ring.prev = &s.ring, &s.ring
}

func (s *modelCache) unlink(m *Model) { m.prev.next, m.next.prev = m.next, m.prev }

func (s *modelCache) touch(m *Model, now float64) {
	if m.next != nil {
		s.unlink(m)
	}
	m.lastUsed = now
	m.prev, m.next = s.ring.prev, &s.ring
	m.prev.next, s.ring.prev = m, m
}

// evict drops those not asked for since a time; with room wanted, any that is not in flight.
func (s *modelCache) evict(since float64, most int) {
	for m := s.ring.next; m != &s.ring && (m.lastUsed < since || len(s.byID) >= most); {
		next := m.next
		if m.inFlight == 0 {
			s.unlink(m)
			delete(s.byName, m.Name)
			delete(s.byID, m.ID)
		}
		m = next
	}
}

// resolveModel returns a model by its name, nil where the catalogue has none like it.
func (g *Gateway) resolveModel(name []byte) (*Model, error) {
	if m := g.models.byName[string(name)]; m != nil {
		g.models.touch(m, g.Loop.Now())
		return m, nil
	}
	for i := range g.cfg.Models {
		c := &g.cfg.Models[i]
		if !matches(c.Name, string(name)) {
			continue
		}
		for k, q := range g.groups {
			if q.Name == c.Group {
				return g.AddModel(Model{Name: string(name), ID: config.ModelID(string(name)), Group: k, Memory: c.Memory.MB(),
					Lanes: c.Lanes, Load: c.Load.Seconds})
			}
		}
		return nil, fmt.Errorf("its model group %s is new: restart to use it", c.Group)
	}
	return nil, nil
}

// FindModel returns a model in use of late by its name, nil if there is none.
func (g *Gateway) FindModel(name []byte) *Model {
	m := g.models.byName[string(name)]
	if m != nil {
		g.models.touch(m, g.Loop.Now())
	}
	return m
}

// AddModel takes a model in that is not in use yet.
func (g *Gateway) AddModel(d Model) (*Model, error) {
	now := g.Loop.Now()
	g.models.evict(now-modelIdleTimeout, g.maxModels)
	if other := g.models.byID[d.ID]; other != nil {
		if other.Name != d.Name {
			return nil, fmt.Errorf("its id is that of model %s by chance", other.Name)
		}
		other.Group, other.Memory, other.Lanes, other.Load, other.group = d.Group, d.Memory, d.Lanes, d.Load, g.groups[d.Group]
		g.models.byName[other.Name] = other // named anew
		g.models.touch(other, now)
		return other, nil
	}
	if len(g.models.byID) >= g.maxModels {
		return nil, fmt.Errorf("too many model names were seen")
	}
	m := &Model{Name: d.Name, ID: d.ID, Group: d.Group, Memory: d.Memory, Lanes: d.Lanes, Load: d.Load, group: g.groups[d.Group]}
	g.models.byName[m.Name], g.models.byID[m.ID] = m, m
	g.models.touch(m, now)
	return m, nil
}

// SetModels takes a new catalogue in service: models seen before keep what they are unless it names them anew.
func (g *Gateway) SetModels(list []config.Model) {
	g.cfg.Models = list
	clear(g.models.byName) // read anew on the next request; ids stay
}
