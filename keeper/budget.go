package keeper

import (
	"context"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

// ErrOverShare is the cause of a call that its purpose's rate leaves no room
// for. Nothing was sent.
var ErrOverShare = errors.New("beyond the purpose's share of calls")

// pair is the rate limiters of one purpose.
type pair struct{ reads, writes *rate.Limiter }

// budget holds the calls of each purpose to their shares.
type budget struct{ shares map[Purpose]pair }

func newBudget(shares map[Purpose]Share) budget {
	b := budget{shares: make(map[Purpose]pair, len(shares))}
	for purpose, s := range shares {
		b.shares[purpose] = pair{
			reads:  rate.NewLimiter(rate.Limit(s.ReadsPerSecond), s.ReadBurst),
			writes: rate.NewLimiter(rate.Limit(s.WritesPerSecond), s.WriteBurst),
		}
	}
	return b
}

func (b budget) limiter(purpose Purpose, call Call) *rate.Limiter {
	p, ok := b.shares[purpose]
	if !ok {
		return nil
	}
	if call.writes() {
		return p.writes
	}
	return p.reads
}

// take waits for one call's share. It fails at once if the share can't be
// had before ctx ends.
func (b budget) take(ctx context.Context, purpose Purpose, call Call) error {
	limiter := b.limiter(purpose, call)
	if limiter == nil {
		return errors.Wrapf(ErrOverShare, "purpose %q has no share", purpose)
	}
	if err := limiter.Wait(ctx); err != nil {
		return errors.Wrap(ErrOverShare, err.Error())
	}
	return nil
}

// charge takes a share without waiting; later calls wait for it instead.
func (b budget) charge(purpose Purpose, call Call) {
	if limiter := b.limiter(purpose, call); limiter != nil {
		limiter.Reserve()
	}
}
