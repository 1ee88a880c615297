package keeper

import (
	"context"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

// ErrRateExceeded is the cause of a call that was not sent because it exceeds the
// rate of its purpose.
var ErrRateExceeded = errors.New("beyond the purpose's share of calls")

// limiterPair holds the rate limiters of one purpose.
type limiterPair struct{ reads, writes *rate.Limiter }

// budget limits the calls of each purpose to the rates of its Share.
type budget struct{ limiters map[Purpose]limiterPair }

func newBudget(shares map[Purpose]Share) budget {
	b := budget{limiters: make(map[Purpose]limiterPair, len(shares))}
	for purpose, s := range shares {
		b.limiters[purpose] = limiterPair{
			reads:  rate.NewLimiter(rate.Limit(s.ReadsPerSecond), s.ReadBurst),
			writes: rate.NewLimiter(rate.Limit(s.WritesPerSecond), s.WriteBurst),
		}
	}
	return b
}

// limiter returns the limiter of a call, or nil if the purpose has no share.
func (b budget) limiter(purpose Purpose, call Call) *rate.Limiter {
	p, ok := b.limiters[purpose]
	if !ok {
		return nil
	}
	if call.isWrite() {
		return p.writes
	}
	return p.reads
}

// wait waits until the rate of the purpose allows one more call. It fails at
// once if that is later than the deadline of ctx.
func (b budget) wait(ctx context.Context, purpose Purpose, call Call) error {
	limiter := b.limiter(purpose, call)
	if limiter == nil {
		return errors.Wrapf(ErrRateExceeded, "no share of calls is configured for purpose %q", purpose)
	}
	if err := limiter.Wait(ctx); err != nil {
		return errors.Wrapf(ErrRateExceeded, "%s for purpose %q: %v", call, purpose, err)
	}
	return nil
}

// charge counts a call against the rate without waiting for it; later calls
// wait longer instead.
func (b budget) charge(purpose Purpose, call Call) {
	if limiter := b.limiter(purpose, call); limiter != nil {
		limiter.Reserve()
	}
}
