// Package registrar keeps the upstreams of the accepted configuration, the
// clients of their engines, and the pools and shards that they form.
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
	// Pieces and Streams are the limits of a decode engine: pieces of KV cache
	// memory and concurrent streams.
	Pieces  identifier.Pieces
	Streams int
	// Leaving is true if the configuration retires the upstream.
	Leaving bool
}

// Pool is a group of upstreams that serve the same models or one service.
type Pool struct {
	ID     identifier.Pool
	Models []identifier.Model
	// Prefix is the path prefix of a plain service, with its leading slash. It
	// is empty for a pool of runners.
	Prefix string
	// Repeatable lists the calls of a plain service that may run twice, each
	// as METHOD or METHOD PATH-PREFIX below Prefix.
	Repeatable []string
}

// Catalog holds the upstreams of one accepted configuration. It is immutable.
type Catalog struct {
	upstreams map[identifier.Upstream]Upstream
	engines   map[identifier.Upstream]driver.Engine
	pools     []Pool
	shards    []Shard
	byModel   map[identifier.Model][]Shard
	// models holds the keys of byModel, sorted.
	models []identifier.Model
}

// Registrar holds the current catalog. It is safe for concurrent reads.
type Registrar struct {
	current atomic.Pointer[Catalog]
	// newEngine creates the client of an engine.
	newEngine func(Upstream) driver.Engine
}

// New returns a registrar with an empty catalog, which creates the clients of
// engines by newEngine.
func New(newEngine func(Upstream) driver.Engine) *Registrar {
	r := &Registrar{newEngine: newEngine}
	r.current.Store(&Catalog{})
	return r
}

// Catalog returns the current catalog.
func (r *Registrar) Catalog() *Catalog { return r.current.Load() }

// Replace builds a catalog from pools and upstreams and makes it the current
// one. The clients of engines with an unchanged address are reused.
func (r *Registrar) Replace(pools []Pool, upstreams []Upstream) *Catalog {
	previous := r.current.Load()
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
		c.engines[u.ID] = r.engineFor(previous, u)
	}
	// Service takes the first match, so longer prefixes come first.
	sort.SliceStable(c.pools, func(i, j int) bool { return len(c.pools[i].Prefix) > len(c.pools[j].Prefix) })
	c.buildShards()
	c.models = slices.Sorted(maps.Keys(c.byModel))
	r.current.Store(c)
	return c
}

func (r *Registrar) engineFor(old *Catalog, u Upstream) driver.Engine {
	if previous, ok := old.upstreams[u.ID]; ok && previous.Address == u.Address {
		if e := old.engines[u.ID]; e != nil {
			return e
		}
	}
	return r.newEngine(u)
}

// Upstream returns the upstream with an id.
func (c *Catalog) Upstream(id identifier.Upstream) (Upstream, bool) {
	u, ok := c.upstreams[id]
	return u, ok
}

// Upstreams returns all upstreams, sorted by id.
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

// Shards returns all shards, sorted by id.
func (c *Catalog) Shards() []Shard { return c.shards }

// ShardsFor returns the shards that serve a model.
func (c *Catalog) ShardsFor(m identifier.Model) []Shard { return c.byModel[m] }

// Models returns all served models, sorted.
func (c *Catalog) Models() []identifier.Model { return c.models }

// Service returns the plain service with the longest prefix of a path, and its
// instances sorted by id.
func (c *Catalog) Service(path string) (Pool, []Upstream, bool) {
	for _, p := range c.pools {
		if p.Prefix == "" || !hasPathPrefix(path, p.Prefix) {
			continue
		}
		return p, c.upstreamsOf(p.ID, identifier.RolePlain), true
	}
	return Pool{}, nil, false
}

func hasPathPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return ok && (rest == "" || rest[0] == '/')
}

func (c *Catalog) upstreamsOf(pool identifier.Pool, roles ...identifier.Role) []Upstream {
	var out []Upstream
	for _, u := range c.upstreams {
		if u.Pool == pool && slices.Contains(roles, u.Role) {
			out = append(out, u)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}
