package tracker

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/throttler"
	"github.com/figtrack/figtrack/wire"
)

const (
	// blockTokens is the number of tokens in a block of wire.RunnerLoads.
	blockTokens = 64
	// callsTime is the time to which the counts of wire.PoolCalls refer: a VM of a large fleet
	// may have less than one request in a second.
	callsTime = 10 * time.Second
	// callsScale converts counts within throttler.Window to those within callsTime.
	callsScale = float64(callsTime) / float64(throttler.Window)
)

// EncodeReport adds to a report the work of this VM and its calls by pool.
func (t *Tracker) EncodeReport(now time.Time, to *wire.ExchangeReport) {
	loads, all := t.report(), &wire.RunnerLoads{}
	for _, hash := range slices.Sorted(maps.Keys(loads)) {
		all.Runners = append(all.Runners, uint32(hash))
		all.Calls = append(all.Calls, uint32(max(0, loads[hash].Calls)))
		all.Blocks = append(all.Blocks, uint32(max(0, loads[hash].Tokens/blockTokens)))
	}
	to.Loads = all
	calls := t.poolCalls(now)
	for _, hash := range slices.Sorted(maps.Keys(calls)) {
		c := calls[hash]
		to.Calls = append(to.Calls, &wire.PoolCalls{Pool: uint32(hash), Granted: uint32(math.Round(c.Granted * callsScale)), Rejected: uint32(math.Round(c.Rejected * callsScale))})
	}
}

// DecodeDigest reads the work and the calls of all VMs. Arrays of different lengths count up
// to the shortest.
func DecodeDigest(sentAt time.Time, from *wire.ExchangeDigest) Digested {
	e := Digested{SentAt: sentAt, All: map[RunnerHash]Occupied{}, Calls: map[PoolHash]Calls{}, Reporting: int(from.GetReporting())}
	l := from.GetLoads()
	for i := range min(len(l.GetRunners()), len(l.GetCalls()), len(l.GetBlocks())) {
		e.All[RunnerHash(l.GetRunners()[i])] = Occupied{Calls: int(l.GetCalls()[i]), Tokens: identifier.Tokens(l.GetBlocks()[i]) * blockTokens}
	}
	for _, c := range from.GetCalls() {
		e.Calls[PoolHash(c.GetPool())] = Calls{Granted: float64(c.GetGranted()) / callsScale, Rejected: float64(c.GetRejected()) / callsScale}
	}
	return e
}
