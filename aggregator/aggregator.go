// Package aggregator adds up at the coordinator what the VMs of a fleet report of their load:
// the work in flight at each runner and the demand for each pool.
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
	// loads and demands are the sums over reports. An entry that falls to zero is removed.
	loads   map[uint32]load
	demands map[uint32]demand
}

// report is the newest report of a VM.
type report struct {
	incarnation identifier.Incarnation
	sequence    uint64
	at          time.Time
	loads       map[uint32]load
	demands     map[uint32]demand
}

type load struct{ calls, tokens int64 }

// maxRanks bounds the ranks of a demand. Requests of a higher rank count with the last one.
const maxRanks = 16

type demand struct {
	waiting [maxRanks]int64
	// granted, refused and rejected are rates in units of 1/rateScale in RatePeriod.
	granted, refused, rejected int64
}

// New returns a core without reports.
func New() *Core {
	return &Core{reports: map[identifier.VM]*report{}, loads: map[uint32]load{}, demands: map[uint32]demand{}}
}

// Collect takes in a report and adds the sums over the VMs that reported within ReportTTL to
// answer. A VM's newest report replaces its former one.
func (c *Core) Collect(now time.Time, from *wire.ExchangeReport, answer *wire.ExchangeDigest) {
	for vm, r := range c.reports {
		if now.Sub(r.at) > ReportTTL {
			c.remove(vm)
		}
	}
	vm, next := identifier.VM(from.VM), newReport(now, from)
	if known := c.reports[vm]; known == nil || cmp.Or(cmp.Compare(next.incarnation, known.incarnation), cmp.Compare(next.sequence, known.sequence)) >= 0 {
		c.remove(vm)
		c.reports[vm] = next
		c.add(next, 1)
	}
	c.write(answer)
}

func newReport(now time.Time, from *wire.ExchangeReport) *report {
	r := &report{
		incarnation: identifier.Incarnation(from.Incarnation), sequence: from.Sequence, at: now,
		loads: make(map[uint32]load, len(from.Loads)), demands: make(map[uint32]demand, len(from.Demands)),
	}
	for _, l := range from.Loads {
		r.loads[l.GetRunner()] = load{int64(l.GetCalls()), int64(l.GetTokens())}
	}
	for _, d := range from.Demands {
		ms := d.GetIntervalMs()
		sum := demand{granted: rate(d.GetGranted(), ms), refused: rate(d.GetRefused(), ms), rejected: rate(d.GetRejected(), ms)}
		for rank, n := range d.GetWaiting() {
			sum.waiting[min(rank, maxRanks-1)] += int64(n)
		}
		r.demands[d.GetPool()] = sum
	}
	return r
}

// RatePeriod is the time to which the counts of reports and digests refer: a VM of a large
// fleet may have less than one request in a second.
const RatePeriod = 10 * time.Second

// rateScale is how much finer the sums are than the counts of digests.
const rateScale = 1000

// rate converts a count within an interval, as VMs may count over different ones.
func rate(n, intervalMs uint32) int64 {
	return int64(n) * rateScale * RatePeriod.Milliseconds() / max(int64(intervalMs), 1)
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
		sum.calls += sign * l.calls
		sum.tokens += sign * l.tokens
		setOrDelete(c.loads, runner, sum)
	}
	for pool, d := range r.demands {
		sum := c.demands[pool]
		for rank, n := range d.waiting {
			sum.waiting[rank] += sign * n
		}
		sum.granted += sign * d.granted
		sum.refused += sign * d.refused
		sum.rejected += sign * d.rejected
		setOrDelete(c.demands, pool, sum)
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
	for _, runner := range slices.Sorted(maps.Keys(c.loads)) {
		l := c.loads[runner]
		answer.Loads = append(answer.Loads, &wire.RunnerLoad{Runner: runner, Calls: clamp(l.calls), Tokens: clamp(l.tokens)})
	}
	for _, pool := range slices.Sorted(maps.Keys(c.demands)) {
		d := c.demands[pool]
		sum := &wire.PoolDemand{
			Pool: pool, Granted: clamp(d.granted / rateScale), Refused: clamp(d.refused / rateScale),
			Rejected: clamp(d.rejected / rateScale), IntervalMs: uint32(RatePeriod.Milliseconds()),
		}
		last := len(d.waiting)
		for last > 0 && d.waiting[last-1] == 0 {
			last--
		}
		for _, n := range d.waiting[:last] {
			sum.Waiting = append(sum.Waiting, clamp(n))
		}
		answer.Demands = append(answer.Demands, sum)
	}
}

func clamp(n int64) uint32 { return uint32(max(0, min(n, math.MaxUint32))) }
