// Package aggregator adds up at the coordinator what the VMs of a fleet report of their load:
// the work in flight at each runner, and the calls that runners granted and rejected.
//
// A Core is pure: it has no clock and does no I/O.
package aggregator

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/wire"
)

// ReportTTL is how long the report of a VM counts that sends no newer one. VMs report at
// least once a second.
const ReportTTL = 1500 * time.Millisecond

// Core holds the newest report of each VM and the sums of them.
type Core struct {
	reports map[identifier.VM]*report
	// loads and calls are the sums over reports. An entry that falls to zero is removed.
	loads map[uint32]load
	calls map[uint32]calls
}

// report is the newest report of a VM.
type report struct {
	incarnation identifier.Incarnation
	sequence    uint64
	at          time.Time
	loads       map[uint32]load
	calls       map[uint32]calls
}

type load struct{ calls, blocks int64 }

type calls struct{ granted, rejected int64 }

// New returns a core without reports.
func New() *Core {
	return &Core{reports: map[identifier.VM]*report{}, loads: map[uint32]load{}, calls: map[uint32]calls{}}
}

// Collect takes in a report and adds the sums over the VMs that reported within ReportTTL to
// answer. A VM's newest report replaces its former one.
func (c *Core) Collect(now time.Time, from *wire.ExchangeReport, answer *wire.ExchangeDigest) {
	for vm, r := range c.reports {
		if now.Sub(r.at) > ReportTTL {
			c.remove(vm)
		}
	}
	vm, next := identifier.VM(from.GetVM()), newReport(now, from)
	if known := c.reports[vm]; known == nil || cmp.Or(cmp.Compare(next.incarnation, known.incarnation), cmp.Compare(next.sequence, known.sequence)) >= 0 {
		c.remove(vm)
		c.reports[vm] = next
		c.add(next, 1)
	}
	c.write(answer)
}

// newReport copies a report. Arrays of different lengths count up to the shortest.
func newReport(now time.Time, from *wire.ExchangeReport) *report {
	r := &report{
		incarnation: identifier.Incarnation(from.GetIncarnation()), sequence: from.GetSequence(), at: now,
		loads: map[uint32]load{}, calls: map[uint32]calls{},
	}
	l := from.GetLoads()
	for i := range min(len(l.GetRunners()), len(l.GetCalls()), len(l.GetBlocks())) {
		r.loads[l.GetRunners()[i]] = load{int64(l.GetCalls()[i]), int64(l.GetBlocks()[i])}
	}
	for _, one := range from.GetCalls() {
		r.calls[one.GetPool()] = calls{int64(one.GetGranted()), int64(one.GetRejected())}
	}
	return r
}

func (c *Core) remove(vm identifier.VM) {
	if r := c.reports[vm]; r != nil {
		c.add(r, -1)
		delete(c.reports, vm)
	}
}

// add adds a report to the sums, or subtracts it with the sign -1.
func (c *Core) add(r *report, sign int64) {
	for runner, l := range r.loads {
		sum := c.loads[runner]
		setOrDelete(c.loads, runner, load{sum.calls + sign*l.calls, sum.blocks + sign*l.blocks})
	}
	for pool, n := range r.calls {
		sum := c.calls[pool]
		setOrDelete(c.calls, pool, calls{sum.granted + sign*n.granted, sum.rejected + sign*n.rejected})
	}
}

func setOrDelete[V comparable](m map[uint32]V, key uint32, v V) {
	var zero V
	if v == zero {
		delete(m, key)
		return
	}
	m[key] = v
}

// write adds the sums to a digest, ordered so that equal sums give equal bytes.
func (c *Core) write(answer *wire.ExchangeDigest) {
	all := &wire.RunnerLoads{}
	for _, runner := range slices.Sorted(maps.Keys(c.loads)) {
		l := c.loads[runner]
		all.Runners = append(all.Runners, runner)
		all.Calls = append(all.Calls, clamp(l.calls))
		all.Blocks = append(all.Blocks, clamp(l.blocks))
	}
	answer.Loads = all
	for _, pool := range slices.Sorted(maps.Keys(c.calls)) {
		n := c.calls[pool]
		answer.Calls = append(answer.Calls, &wire.PoolCalls{Pool: pool, Granted: clamp(n.granted), Rejected: clamp(n.rejected)})
	}
}

func clamp(n int64) uint32 { return uint32(max(0, min(n, math.MaxUint32))) }
