package registrar

import (
	"fmt"
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/figtrack/figtrack/identifier"
)

// MaxShardRunners is the most runners of one shard, so that the messages to
// its owner VM stay bounded.
const MaxShardRunners = 12

// Shard is a part of a pool whose ledger one owner VM keeps.
type Shard struct {
	ID        identifier.Shard
	Pool      identifier.Pool
	Upstreams []Upstream
}

// VM is a live VM with its data centre.
type VM struct {
	ID         identifier.VM
	DataCentre identifier.DataCentre
}

// shard splits the pools of runners. Each role is dealt out in turn, so that
// every shard has prefill and decode runners.
func (c *Catalog) shard() {
	for _, p := range c.pools {
		prefill := c.members(p.ID, identifier.RolePrefill)
		decode := c.members(p.ID, identifier.RoleDecode)
		n := (len(prefill) + len(decode) + MaxShardRunners - 1) / MaxShardRunners
		if n == 0 {
			continue
		}
		shards := make([]Shard, n)
		for i := range shards {
			shards[i].ID = identifier.Shard(fmt.Sprintf("%s/%d", p.ID, i))
			shards[i].Pool = p.ID
		}
		deal(shards, prefill)
		deal(shards, decode)
		c.shards = append(c.shards, shards...)
		for _, m := range p.Models {
			c.byModel[m] = append(c.byModel[m], shards...)
		}
	}
	sort.Slice(c.shards, func(i, j int) bool { return c.shards[i].ID < c.shards[j].ID })
}

func deal(shards []Shard, runners []Upstream) {
	for i, u := range runners {
		s := &shards[i%len(shards)]
		s.Upstreams = append(s.Upstreams, u)
	}
}

// Owner returns the VM that keeps the ledger of a shard: by rendezvous
// hashing over the live VMs of the data centre with most of its runners, or
// over all where that one has none. It is empty where no VM lives.
func (s Shard) Owner(live []VM) identifier.VM {
	home := s.home()
	var near, all []string
	for _, v := range live {
		all = append(all, string(v.ID))
		if v.DataCentre == home {
			near = append(near, string(v.ID))
		}
	}
	if len(near) > 0 {
		all = near
	}
	if len(all) == 0 {
		return ""
	}
	return identifier.VM(rendezvous.New(all, xxhash.Sum64String).Lookup(string(s.ID)))
}

// home is the data centre with most of the runners, the first by name among
// equals.
func (s Shard) home() identifier.DataCentre {
	counts := make(map[identifier.DataCentre]int)
	for _, u := range s.Upstreams {
		counts[u.DataCentre]++
	}
	var best identifier.DataCentre
	for dc, n := range counts {
		if n > counts[best] || n == counts[best] && dc < best {
			best = dc
		}
	}
	return best
}
