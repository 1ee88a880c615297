package enroller

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/figtrack/figtrack/keeper"
)

// Leaser grants leases in the store and writes entries bound to them.
type Leaser interface {
	Grant(ctx context.Context, purpose keeper.Purpose, ttl time.Duration) (keeper.Lease, error)
	KeepAlive(ctx context.Context, purpose keeper.Purpose, lease keeper.Lease) error
	SwapLeased(ctx context.Context, purpose keeper.Purpose, key string, expected keeper.Version, value []byte, lease keeper.Lease) (keeper.Entry, bool, error)
}

// Shell performs the outcomes of one core.
type Shell struct {
	core  *Core
	store Leaser
	key   string
	value []byte
	log   zerolog.Logger
	// removed signals that the entry was found to be missing.
	removed chan struct{}
}

// NewShell returns a shell that keeps an entry with value under key.
func NewShell(store Leaser, key string, value []byte, log zerolog.Logger) *Shell {
	return &Shell{core: New(), store: store, key: key, value: value, log: log, removed: make(chan struct{}, 1)}
}

// Run maintains the entry until ctx is canceled.
func (s *Shell) Run(ctx context.Context) {
	var e Event = Wake{}
	for ctx.Err() == nil {
		e = s.perform(ctx, s.core.Step(e))
	}
}

func (s *Shell) perform(ctx context.Context, o Outcome) Event {
	switch o := o.(type) {
	case Grant:
		lease, err := s.store.Grant(ctx, keeper.PurposeMembership, o.TTL)
		if err != nil {
			return s.logFailure("Grant", err)
		}
		s.log.Info().Int64("Lease", int64(lease)).Msg("LeaseHad")
		return Granted{lease}
	case Write:
		entry, done, err := s.store.SwapLeased(ctx, keeper.PurposeMembership, s.key, o.Expected, s.value, o.Lease)
		switch {
		case errors.Is(err, keeper.ErrLeaseExpired):
			return Lapsed{}
		case err != nil:
			return s.logFailure("Write", err)
		case !done:
			return Conflicted{entry.Version}
		}
		return Written{entry.Version}
	case Renew:
		err := s.store.KeepAlive(ctx, keeper.PurposeMembership, o.Lease)
		if errors.Is(err, keeper.ErrLeaseExpired) {
			s.log.Warn().Int64("Lease", int64(o.Lease)).Msg("LeaseLost")
			return Lapsed{}
		}
		if err != nil {
			return s.logFailure("Renew", err)
		}
		return Renewed{}
	case Rest:
		return s.wait(ctx, o.For)
	}
	return Wake{}
}

func (s *Shell) wait(ctx context.Context, d time.Duration) Event {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-s.removed:
		s.log.Warn().Str("Key", s.key).Msg("EnrolmentRemoved")
		return Removed{}
	}
	return Wake{}
}

// NotifyRemoved notifies the shell that the entry was found to be missing. It
// never blocks.
func (s *Shell) NotifyRemoved() {
	select {
	case s.removed <- struct{}{}:
	default: // A notification is pending already.
	}
}

func (s *Shell) logFailure(call string, err error) Event {
	s.log.Info().Str("Call", call).AnErr("Error", err).Msg("EnrolmentFailed")
	return Failed{}
}
