package registrar

import (
	"fmt"
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/figtrack/figtrack/identifier"
)

// MaxShardRunners is the target size of a shard, which bounds the messages to
// its owner VM. A shard can have one runner more, as each role is rounded up.
const MaxShardRunners = 12

// Shard is a part of a pool's runners. One VM, its owner, keeps its ledger.
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

// buildShards splits the pools of runners into shards. Each role is distributed
// round-robin, so that every shard has prefill and decode runners.
func (c *Catalog) buildShards() {
	for _, p := range c.pools {
		prefill := c.upstreamsOf(p.ID, identifier.RolePrefill)
		decode := c.upstreamsOf(p.ID, identifier.RoleDecode)
		n := (len(prefill) + len(decode) + MaxShardRunners - 1) / MaxShardRunners
		if n == 0 {
			continue
		}
		shards := make([]Shard, n)
		for i := range shards {
			shards[i].ID = identifier.Shard(fmt.Sprintf("%s/%d", p.ID, i))
			shards[i].Pool = p.ID
		}
		distribute(shards, prefill)
		distribute(shards, decode)
		c.shards = append(c.shards, shards...)
		for _, m := range p.Models {
			c.byModel[m] = append(c.byModel[m], shards...)
		}
	}
	sort.Slice(c.shards, func(i, j int) bool { return c.shards[i].ID < c.shards[j].ID })
}

func distribute(shards []Shard, runners []Upstream) {
	for i, u := range runners {
		s := &shards[i%len(shards)]
		s.Upstreams = append(s.Upstreams, u)
	}
}

// Owner returns the VM that keeps the ledger of a shard. It is chosen by
// rendezvous hashing among the live VMs of the data centre with most of the
// shard's runners, or among all live VMs if that data centre has none. It is
// empty if live is empty.
func (s Shard) Owner(live []VM) identifier.VM {
	dc := s.homeDataCentre()
	var local, candidates []string
	for _, v := range live {
		candidates = append(candidates, string(v.ID))
		if v.DataCentre == dc {
			local = append(local, string(v.ID))
		}
	}
	if len(local) > 0 {
		candidates = local
	}
	if len(candidates) == 0 {
		return ""
	}
	return identifier.VM(rendezvous.New(candidates, xxhash.Sum64String).Lookup(string(s.ID)))
}

// homeDataCentre returns the data centre with the most runners; if several have
// equally many, the first by name.
func (s Shard) homeDataCentre() identifier.DataCentre {
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
