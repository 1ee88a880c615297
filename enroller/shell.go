package enroller

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/figtrack/figtrack/keeper"
	"github.com/figtrack/figtrack/stepper"
)

// Leaser grants leases in the store and writes entries bound to them.
type Leaser interface {
	Grant(ctx context.Context, purpose keeper.Purpose, ttl time.Duration) (keeper.Lease, keeper.Era, error)
	KeepAlive(ctx context.Context, purpose keeper.Purpose, lease keeper.Lease) (keeper.Era, error)
	SwapLeased(ctx context.Context, purpose keeper.Purpose, key string, expected keeper.Version, value []byte, lease keeper.Lease) (keeper.Entry, bool, error)
}

// Shell performs the outcomes of one core.
type Shell struct {
	core  *Core
	store Leaser
	key   string
	value []byte
	steps *stepper.Stepper
	log   zerolog.Logger
	// notices holds what other duties of this VM have found. It is bounded; a
	// notice that finds it full is dropped, as the next renewal finds the same.
	notices chan Event
}

// Names of the core and of its calls to the store.
const (
	coreEnroller   stepper.Core = "Enroller"
	coreEnrolments stepper.Core = "Enrolments"
)

// maxNotices bounds the notices that wait for the end of a call.
const maxNotices = 4

// NewShell returns a shell that keeps an entry with value under key. The hash of
// key spreads the calls of VMs.
func NewShell(store Leaser, key string, value []byte, steps *stepper.Stepper, log zerolog.Logger) *Shell {
	return &Shell{core: New(float64(xxhash.Sum64String(key)>>11) / (1 << 53)), store: store, key: key, value: value, steps: steps, log: log, notices: make(chan Event, maxNotices)}
}

// SetValue replaces the value of the entry. It is called before Run.
func (s *Shell) SetValue(value []byte) { s.value = value }

// Run maintains the entry until ctx is canceled. After a panic it asks for a new lease.
func (s *Shell) Run(ctx context.Context) {
	var e Event = Wake{}
	for ctx.Err() == nil {
		var o Outcome = Rest{RetryInterval}
		if !s.steps.Call(coreEnroller, e, func() { o = s.core.Step(time.Now(), e) }) {
			s.core, o = s.core.Restarted(), Rest{RetryInterval}
		}
		e = s.perform(ctx, o)
	}
}

func (s *Shell) perform(ctx context.Context, o Outcome) Event {
	if o, ok := o.(Rest); ok {
		return s.wait(ctx, o.For)
	}
	var e Event
	if !s.steps.Call(coreEnrolments, o, func() { e = s.call(ctx, o) }) {
		return Failed{}
	}
	return e
}

// call makes the call of one outcome.
func (s *Shell) call(ctx context.Context, o Outcome) Event {
	switch o := o.(type) {
	case Grant:
		lease, era, err := s.store.Grant(ctx, keeper.PurposeMembership, o.TTL)
		if err != nil {
			return s.logFailure("Grant", err)
		}
		s.log.Info().Int64("Lease", int64(lease)).Int64("Era", int64(era)).Msg("LeaseHad")
		return Granted{lease, era}
	case Write:
		entry, done, err := s.store.SwapLeased(ctx, keeper.PurposeMembership, s.key, o.Expected, s.value, o.Lease)
		switch {
		case errors.Is(err, keeper.ErrLeaseExpired):
			return Lapsed{keeper.EraOf(err)}
		case err != nil:
			return s.logFailure("Write", err)
		case !done:
			return Conflicted{entry.Version, entry.Era}
		}
		return Written{entry.Version, entry.Era}
	case Renew:
		era, err := s.store.KeepAlive(ctx, keeper.PurposeMembership, o.Lease)
		if errors.Is(err, keeper.ErrLeaseExpired) {
			s.log.Warn().Int64("Lease", int64(o.Lease)).Msg("LeaseLost")
			return Lapsed{keeper.EraOf(err)}
		}
		if err != nil {
			return s.logFailure("Renew", err)
		}
		return Renewed{era}
	}
	return Wake{}
}

func (s *Shell) wait(ctx context.Context, d time.Duration) Event {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case e := <-s.notices:
		if _, ok := e.(Removed); ok {
			s.log.Warn().Str("Key", s.key).Msg("EnrolmentRemoved")
		}
		return e
	}
	return Wake{}
}

// NotifyRemoved notifies the shell that the entry was found to be missing. It
// never blocks.
func (s *Shell) NotifyRemoved() { s.notify(Removed{}) }

// NotifyEra notifies the shell that the store came back from a copy. It never
// blocks.
func (s *Shell) NotifyEra(era keeper.Era) { s.notify(EraChanged{era}) }

func (s *Shell) notify(e Event) {
	select {
	case s.notices <- e:
	default:
	}
}

func (s *Shell) logFailure(call string, err error) Event {
	s.log.Info().Str("Call", call).AnErr("Error", err).Msg("EnrolmentFailed")
	return Failed{keeper.EraOf(err)}
}
