package apportioner

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figtrack/figtrack/identifier"
)

const (
	// burstSeconds is how many seconds of the rate all VMs together may save up.
	burstSeconds = 1.5
	// minSenders is how many VMs may send at the lowest rate.
	minSenders = 2
	// MaxSendAfter stands for a VM that sends a process nothing.
	MaxSendAfter = time.Hour
)

// limit is the limit of one process.
type limit struct {
	// rate is the rate that the process takes; zero after its end.
	rate identifier.Rate
	// changedAt is when rate last changed.
	changedAt time.Time
	// unnamed counts the answers without a rate since the last one that named it.
	unnamed int
	// share is the part of rate that this VM has; zero if it isn't one of the senders.
	// burst is the most requests that it may save up.
	share identifier.Rate
	burst float64
	// saved is the number of requests that may be sent, as of filledAt.
	saved    float64
	filledAt time.Time
}

// divide sets the share of this VM; senders is the number of VMs that have one, zero if
// this VM hasn't.
func (l *limit) divide(now time.Time, senders int) {
	l.fill(now)
	l.share, l.burst = 0, 0
	if senders > 0 && l.rate > 0 {
		l.share = l.rate / identifier.Rate(senders)
		l.burst = max(1, burstSeconds*float64(l.rate)/float64(senders)-1)
	}
	l.saved = min(l.saved, l.burst)
}

// isChanged reports whether an answer shows that the limit has changed.
func (l *limit) isChanged(e Named) bool {
	if isSame(l.rate, e.Rate) {
		l.unnamed = 0
		return false
	}
	if !e.SentAt.After(l.changedAt) {
		return false
	}
	if e.Rate == 0 {
		l.unnamed++
	}
	return e.Rate > 0 || l.unnamed >= EndAnswers
}

func (l *limit) fill(now time.Time) {
	l.saved = min(l.burst, l.saved+float64(l.share)*now.Sub(l.filledAt).Seconds())
	l.filledAt = now
}

func (l *limit) take(now time.Time) bool {
	l.fill(now)
	if l.saved < 1 {
		return false
	}
	l.saved--
	return true
}

func (l *limit) sendAfter(now time.Time) time.Duration {
	l.fill(now)
	switch {
	case l.saved >= 1:
		return 0
	case l.share == 0:
		return MaxSendAfter
	default:
		return min(MaxSendAfter, time.Duration(math.Ceil((1-l.saved)/float64(l.share)*float64(time.Second))))
	}
}

// senders returns how many VMs may send to a process, or zero if this VM isn't one of
// them. All VMs with the same roster choose the same.
func (c *Core) senders(p Process, rate identifier.Rate) int {
	if len(c.vms) == 0 {
		return 1
	}
	n := min(len(c.vms), minSenders+int(burstSeconds*float64(rate)))
	own := weight(c.self, p)
	before := 0
	for _, vm := range c.vms {
		if vm != c.self && cmp.Or(cmp.Compare(weight(vm, p), own), cmp.Compare(vm, c.self)) > 0 {
			before++
		}
	}
	if before >= n {
		return 0
	}
	if !slices.Contains(c.vms, c.self) {
		return n + 1 // The others don't count this VM.
	}
	return n
}

// weight orders the VMs for a process.
func weight(vm identifier.VM, p Process) uint64 {
	return xxhash.Sum64String(string(p.Upstream) + " " + string(vm))
}
