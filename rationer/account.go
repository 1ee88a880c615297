package rationer

import (
	"math"
	"slices"
	"time"

	"github.com/figtrack/figtrack/clocker"
)

// account is what a VM has of a workspace's quota.
type account struct {
	limit Limit
	// credit is ordered by time; the oldest is spent first.
	credit []credit
	// unused is what goes back with the next report.
	unused  float64
	waiting []request
	// use is the mean use in units a second as of usedAt, cost the mean cost of a request.
	use    float64
	usedAt clocker.Moment
	cost   float64
	// level is what the coordinator's bucket had after the latest grant, by its answer, and
	// rate how fast it fills. grantedAt is zero without a grant.
	level, rate float64
	grantedAt   clocker.Moment
	// own is the VM's own share while it is isolated.
	own bucket
	// asked is what the latest report asked for, reportedAt when a report last mentioned
	// the workspace.
	asked      float64
	reportedAt clocker.Moment
}

type credit struct {
	amount float64
	from   Source
	sentAt clocker.Moment
}

type request struct {
	ticket Ticket
	cost   float64
	at     clocker.Moment
	wait   time.Duration
}

// ask asks for a report at the time at which the first request that waits can be granted.
func (a *account) ask(now clocker.Moment) Ask {
	after := time.Duration(0)
	if a.knows(now) && a.levelAt(now) < 0 {
		after = min(a.delay(-a.levelAt(now)), MaxWait)
	}
	return Ask{after}
}

// knows reports whether the level of the coordinator's bucket is known.
func (a *account) knows(now clocker.Moment) bool {
	return !a.grantedAt.IsZero() && now.Longest(a.grantedAt) <= maxDelay && a.rate > 0
}

// levelAt returns the level of the coordinator's bucket if no other VM takes from it.
func (a *account) levelAt(now clocker.Moment) float64 {
	return a.level + a.rate*now.Shortest(a.grantedAt).Seconds()
}

func (a *account) delay(amount float64) time.Duration {
	b := bucket{limit: Limit{Rate: a.rate}}
	return b.delay(amount, 1)
}

func (a *account) decay(now clocker.Moment) {
	a.use *= math.Exp(-now.Shortest(a.usedAt).Seconds() / useTime.Seconds())
	a.usedAt = now
}

// spend takes an amount from the oldest credit.
func (a *account) spend(amount float64) {
	for amount > 0 && len(a.credit) > 0 {
		taken := min(amount, a.credit[0].amount)
		a.credit[0].amount -= taken
		amount -= taken
		if a.credit[0].amount <= 0 {
			a.credit = a.credit[1:]
		}
	}
}

func (a *account) expire(now clocker.Moment) {
	a.credit = slices.DeleteFunc(a.credit, func(c credit) bool { return now.Longest(c.sentAt) >= creditLifetime })
}

func (a *account) held() (sum float64) {
	for _, c := range a.credit {
		sum += c.amount
	}
	return sum
}

func (a *account) sumWaiting() (sum float64) {
	for _, r := range a.waiting {
		sum += r.cost
	}
	return sum
}

// returned takes out the credit beyond a need that the VM asked has granted.
func (a *account) returned(need float64, to Source) (sum float64) {
	excess := a.held() - need
	for i := range a.credit {
		if c := &a.credit[i]; c.from == to && excess > 0 {
			taken := min(excess, c.amount)
			c.amount -= taken
			excess -= taken
			sum += taken
		}
	}
	a.credit = slices.DeleteFunc(a.credit, func(c credit) bool { return c.amount <= 0 })
	return sum
}
