package admitter

import (
	"cmp"
	"slices"
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// overuse is how many times the mean use of a class's workspaces one may
// have before it is the first to give way.
const overuse = 1.5

// claimant is a workspace with requests in the way of another.
type claimant struct {
	workspace identifier.Workspace
	// use is its faded service and what waits, in seconds of the shard.
	use float64
	// last is its request with the latest deadline.
	last *pending
}

// victim returns the request to give up when the one at position i of those
// due can't be in time, and why. It is that one, unless a workspace uses far
// more than its share of the class.
func (c *Core) victim(now time.Time, i int) (*pending, Reason) {
	late := c.queue.due[i]
	heaviest, mean, n := c.claimants(now, late.class, c.queue.due[:i+1])
	if n < 2 || heaviest.use <= overuse*mean || heaviest.workspace == late.Workspace || heaviest.last == nil {
		return late, ReasonTargetOutOfReach
	}
	return heaviest.last, ReasonWorkspaceShare
}

// claimants returns the workspace of a class with most use, the mean use and
// the number of workspaces among some waiting requests.
func (c *Core) claimants(now time.Time, cl *class, waiting []*pending) (claimant, float64, int) {
	all := c.buf.claimants[:0]
	for _, p := range waiting {
		if p.class != cl {
			continue
		}
		i := slices.IndexFunc(all, func(x claimant) bool { return x.workspace == p.Workspace })
		if i < 0 {
			i = len(all)
			all = append(all, claimant{workspace: p.Workspace, use: cl.shares.usedBy(now, p.Workspace)})
		}
		all[i].use += c.service(p)
		if !p.accepted() {
			all[i].last = p
		}
	}
	c.buf.claimants = all
	if len(all) == 0 {
		return claimant{}, 0, 0
	}
	sum := 0.0
	for _, x := range all {
		sum += x.use
	}
	most := slices.MaxFunc(all, func(a, b claimant) int { return cmp.Compare(a.use, b.use) })
	return most, sum / float64(len(all)), len(all)
}

// service is what a request costs in seconds of the whole shard.
func (c *Core) service(p *pending) float64 {
	return p.cost.Seconds()/float64(max(1, c.prefills)) + p.memory/float64(max(1, c.pieces))
}

// fairLate returns the first late requests, those of the workspaces with
// least service before the others.
func (c *Core) fairLate(now time.Time) []*pending {
	n := min(len(c.queue.late), lookAhead)
	c.buf.late = append(c.buf.late[:0], c.queue.late[:n]...)
	for _, p := range c.buf.late {
		p.used = p.class.shares.usedBy(now, p.Workspace)
	}
	slices.SortStableFunc(c.buf.late, func(a, b *pending) int { return cmp.Compare(a.used, b.used) })
	return c.buf.late
}
