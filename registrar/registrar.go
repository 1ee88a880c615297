// Package registrar keeps the upstreams of the accepted configuration, with
// the engines' clients and the pools and shards they form.
package registrar

import (
	"maps"
	"slices"
	"sort"
	"strings"
	"sync/atomic"

	"github.com/figtrack/figtrack/driver"
	"github.com/figtrack/figtrack/identifier"
)

// Upstream is one runner or one instance of a plain service.
type Upstream struct {
	ID         identifier.Upstream
	Pool       identifier.Pool
	Role       identifier.Role
	DataCentre identifier.DataCentre
	// Address is an IP and a TCP port.
	Address string
	// Pieces and Streams are the limits of a decode engine.
	Pieces  identifier.Pieces
	Streams int
	// Leaving says that the configuration retires the upstream.
	Leaving bool
}

// Pool is a group of upstreams that serve the same models or one service.
type Pool struct {
	ID     identifier.Pool
	Models []identifier.Model
	// Prefix is the route prefix of a plain service, with its leading slash.
	Prefix string
	// Repeatable lists the calls of a plain service that may run twice, each
	// as METHOD or METHOD PATH-PREFIX below Prefix.
	Repeatable []string
}

// Catalog is one accepted configuration's upstreams. It is not changed after
// it was made.
type Catalog struct {
	upstreams map[identifier.Upstream]Upstream
	engines   map[identifier.Upstream]driver.Engine
	pools     []Pool
	shards    []Shard
	byModel   map[identifier.Model][]Shard
	// models holds the keys of byModel, sorted.
	models []identifier.Model
}

// Registrar gives the present catalog to all duties.
type Registrar struct {
	present atomic.Pointer[Catalog]
	// dial makes the client of an engine.
	dial func(Upstream) driver.Engine
}

// New returns a registrar with an empty catalog.
func New(dial func(Upstream) driver.Engine) *Registrar {
	r := &Registrar{dial: dial}
	r.present.Store(&Catalog{})
	return r
}

// Catalog returns the present catalog.
func (r *Registrar) Catalog() *Catalog { return r.present.Load() }

// Replace makes a new catalog. The clients of engines whose address stays
// are kept.
func (r *Registrar) Replace(pools []Pool, upstreams []Upstream) *Catalog {
	old := r.present.Load()
	c := &Catalog{
		upstreams: make(map[identifier.Upstream]Upstream, len(upstreams)),
		engines:   make(map[identifier.Upstream]driver.Engine),
		pools:     slices.Clone(pools),
		byModel:   make(map[identifier.Model][]Shard),
	}
	for _, u := range upstreams {
		c.upstreams[u.ID] = u
		if u.Role == identifier.RolePlain {
			continue
		}
		c.engines[u.ID] = r.engine(old, u)
	}
	// The longest prefix comes first, so that it wins.
	sort.SliceStable(c.pools, func(i, j int) bool { return len(c.pools[i].Prefix) > len(c.pools[j].Prefix) })
	c.shard()
	c.models = slices.Sorted(maps.Keys(c.byModel))
	r.present.Store(c)
	return c
}

func (r *Registrar) engine(old *Catalog, u Upstream) driver.Engine {
	if was, ok := old.upstreams[u.ID]; ok && was.Address == u.Address {
		if e := old.engines[u.ID]; e != nil {
			return e
		}
	}
	return r.dial(u)
}

// Upstream returns one upstream.
func (c *Catalog) Upstream(id identifier.Upstream) (Upstream, bool) {
	u, ok := c.upstreams[id]
	return u, ok
}

// Upstreams returns all upstreams in the order of their ids.
func (c *Catalog) Upstreams() []Upstream {
	out := make([]Upstream, 0, len(c.upstreams))
	for _, u := range c.upstreams {
		out = append(out, u)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Engine returns the client of a runner.
func (c *Catalog) Engine(id identifier.Upstream) (driver.Engine, bool) {
	e, ok := c.engines[id]
	return e, ok
}

// Shards returns all shards in the order of their ids.
func (c *Catalog) Shards() []Shard { return c.shards }

// ShardsFor returns the shards that serve a model.
func (c *Catalog) ShardsFor(m identifier.Model) []Shard { return c.byModel[m] }

// Models returns the models that are served, sorted.
func (c *Catalog) Models() []identifier.Model { return c.models }

// Service returns the plain service for a path and its instances, sorted.
func (c *Catalog) Service(path string) (Pool, []Upstream, bool) {
	for _, p := range c.pools {
		if p.Prefix == "" || !below(path, p.Prefix) {
			continue
		}
		return p, c.members(p.ID, identifier.RolePlain), true
	}
	return Pool{}, nil, false
}

func below(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return ok && (rest == "" || rest[0] == '/')
}

func (c *Catalog) members(pool identifier.Pool, roles ...identifier.Role) []Upstream {
	var out []Upstream
	for _, u := range c.upstreams {
		if u.Pool == pool && slices.Contains(roles, u.Role) {
			out = append(out, u)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}
