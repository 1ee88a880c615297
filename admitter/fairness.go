package admitter

import (
	"cmp"
	"slices"
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// maxUsageRatio is the multiple of the mean usage in its class above which a
// workspace's requests are given up first.
const maxUsageRatio = 1.5

// workspaceLoad is the usage of one workspace of a class.
type workspaceLoad struct {
	workspace identifier.Workspace
	// usage is its recent service plus the service cost of its waiting requests,
	// in seconds of the whole shard.
	usage float64
	// latest is its waiting request with the latest deadline, without those that
	// were placed before.
	latest *pending
}

// victim returns the request to give up when the on-time request at position i
// can't meet its deadline, and the reason. It is that request, unless another
// workspace uses far more than its share of the class.
func (c *Core) victim(now time.Time, i int) (*pending, Reason) {
	late := c.queue.onTime[i]
	heaviest, mean, n := c.workspaceLoads(now, late.class, c.queue.onTime[:i+1])
	if n < 2 || heaviest.usage <= maxUsageRatio*mean || heaviest.workspace == late.Workspace || heaviest.latest == nil {
		return late, ReasonTargetOutOfReach
	}
	return heaviest.latest, ReasonWorkspaceShare
}

// workspaceLoads returns the workspace of a class with the highest usage, the
// mean usage, and the number of workspaces among the waiting requests.
func (c *Core) workspaceLoads(now time.Time, cl *classState, waiting []*pending) (workspaceLoad, float64, int) {
	all := c.buf.workspaces[:0]
	for _, p := range waiting {
		if p.class != cl {
			continue
		}
		i := slices.IndexFunc(all, func(x workspaceLoad) bool { return x.workspace == p.Workspace })
		if i < 0 {
			i = len(all)
			all = append(all, workspaceLoad{workspace: p.Workspace, usage: cl.shares.usageOf(now, p.Workspace)})
		}
		all[i].usage += c.serviceCost(p)
		if !p.placedBefore() {
			all[i].latest = p
		}
	}
	c.buf.workspaces = all
	if len(all) == 0 {
		return workspaceLoad{}, 0, 0
	}
	sum := 0.0
	for _, x := range all {
		sum += x.usage
	}
	most := slices.MaxFunc(all, func(a, b workspaceLoad) int { return cmp.Compare(a.usage, b.usage) })
	return most, sum / float64(len(all)), len(all)
}

// serviceCost returns the cost of a request in seconds of the whole shard.
func (c *Core) serviceCost(p *pending) float64 {
	return p.prefillCost.Seconds()/float64(max(1, c.openPrefills)) + p.pieceSeconds/float64(max(1, c.decodePieces))
}

// lateByUsage returns the first late requests, ordered by the recent service of
// their workspaces, least first.
func (c *Core) lateByUsage(now time.Time) []*pending {
	n := min(len(c.queue.late), maxLookAhead)
	c.buf.late = append(c.buf.late[:0], c.queue.late[:n]...)
	for _, p := range c.buf.late {
		p.workspaceService = p.class.shares.usageOf(now, p.Workspace)
	}
	slices.SortStableFunc(c.buf.late, func(a, b *pending) int { return cmp.Compare(a.workspaceService, b.workspaceService) })
	return c.buf.late
}
