package router

import (
	"context"
	"fmt"
	"io"
	"syscall"
	"time"
	"unicode/utf8"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/isolator"
	"github.com/figtrack/figtrack/keeper"
	"github.com/figtrack/figtrack/quarantiner"
	"github.com/figtrack/figtrack/tracker"
	"github.com/figtrack/figtrack/wire"
)

// checkTimeout bounds the check of a runner.
const checkTimeout = 500 * time.Millisecond

// traitsOf returns what a request may have in common with others on which runners
// crash: the parts of its prompt but the last, which is its own, and its whole
// content, which callers may send again.
func traitsOf(q *Request) []isolator.Trait {
	var traits []isolator.Trait
	for _, part := range q.Prompt.Parts[:max(0, len(q.Prompt.Parts)-1)] {
		traits = append(traits, traitOfPart(part.ID))
	}
	return append(traits, contentOf(q))
}

// traitOfPart returns the trait of requests with a part of prompts. Callers choose its id,
// and the shared record, which holds text, couldn't be written with an id that is none.
func traitOfPart(id string) isolator.Trait {
	if !utf8.ValidString(id) {
		return isolator.Trait(fmt.Sprintf("bytes %x", id))
	}
	return isolator.Trait(id)
}

// prefillTraitsOf returns the same traits for engines that only prefill the prompt: a
// request on which these crash may run elsewhere.
func prefillTraitsOf(traits []isolator.Trait) []isolator.Trait {
	all := make([]isolator.Trait, 0, len(traits))
	for _, t := range traits {
		all = append(all, "prefill "+t)
	}
	return all
}

// contentOf returns the trait that only identical requests have. Identical requests
// come under different ids.
func contentOf(q *Request) isolator.Trait {
	head := fmt.Appendf(nil, "%q %q %q %q ", q.Method, q.Host, q.Target, q.Prompt.partIDs())
	return isolator.Trait(fmt.Sprintf("content %016x", uint64(quarantiner.NewFingerprint(q.Prompt.Model, head, q.Body))))
}

// isClosedByPeer reports whether a call or an answer failed as the runner closed the
// connection, as it does when it crashes.
func isClosedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

// BlockedFor implements attempter.Fleet.
func (f *Fleet) BlockedFor(now time.Time, traits []isolator.Trait) time.Duration {
	var until time.Time
	var found bool
	isDone := f.step(coreIsolation, traits, func() { _, until, found = f.isolation.FindBlocked(traits) })
	if !found || !isDone {
		return 0
	}
	return max(until.Sub(now), defaultRetryAfter)
}

// TakeProbe implements attempter.Fleet.
func (f *Fleet) TakeProbe(now time.Time, traits []isolator.Trait) (a isolator.Admission) {
	f.step(coreIsolation, traits, func() { a = f.isolation.TakeProbe(now, traits) })
	if a == isolator.Awaited {
		f.stepIsolation(isolator.Wake{}) // Asks for the write that claims it.
	}
	return a
}

// ReturnProbe implements attempter.Fleet.
func (f *Fleet) ReturnProbe(traits []isolator.Trait) {
	f.step(coreIsolation, traits, func() { f.isolation.ReturnProbe(traits) })
	f.stepIsolation(isolator.Wake{})
}

// recordBroken records that a runner closed the connection of a prefill or run early.
func (f *Fleet) recordBroken(traits []isolator.Trait, by tracker.Runner, lived time.Duration) {
	f.stepIsolation(isolator.RunBroken{Traits: traits, On: crashOf(by), Lived: lived})
}

// recordCompleted records that a prefill or run was answered whole.
func (f *Fleet) recordCompleted(traits []isolator.Trait) {
	f.stepIsolation(isolator.RunCompleted{Traits: traits})
}

// recordAnswered records that a runner answered a call that began at sentAt.
func (f *Fleet) recordAnswered(by tracker.Runner, sentAt time.Time) {
	f.stepIsolation(isolator.EngineAnswered{By: crashOf(by), SentAt: sentAt})
}

// recordEnded records that a runner's process has ended.
func (f *Fleet) recordEnded(by tracker.Runner) {
	f.stepIsolation(isolator.EngineEnded{By: crashOf(by)})
}

// crashOf returns the crash of a runner's current process, if it is one.
func crashOf(r tracker.Runner) isolator.Crash {
	return isolator.Crash{Upstream: r.ID, Start: r.Start}
}

// checkProcess connects to a runner to tell whether its process has ended. One that
// has left the view or has started again has.
func (f *Fleet) checkProcess(on isolator.Crash) {
	r, isKnown := f.Runner(on.Upstream)
	if !isKnown || r.Start != on.Start {
		f.stepIsolation(isolator.EngineEnded{By: on})
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	began := time.Now()
	err := f.runners.Connect(ctx, r)
	f.log.Info().Str("Upstream", string(r.ID)).AnErr("Error", err).Msg("ProcessChecked")
	switch {
	case err == nil:
		f.recordAnswered(r, began)
	case errors.Is(err, syscall.ECONNREFUSED):
		f.recordEnded(r)
	}
}

// stepIsolation passes an event to the isolation and performs its outcomes.
func (f *Fleet) stepIsolation(e isolator.Event) {
	var outcomes []isolator.Outcome
	var by rebuildCount
	if !f.step(coreIsolation, e, func() {
		by = f.rebuildsOf(coreIsolation)
		outcomes = f.isolation.Step(time.Now(), e)
		f.metrics.blockedTraits.Set(float64(f.isolation.BlockedCount()))
	}) {
		return
	}
	f.performIsolation(by, outcomes)
}

// performIsolation performs the outcomes of the isolation that was rebuilt by times.
func (f *Fleet) performIsolation(by rebuildCount, outcomes []isolator.Outcome) {
	for _, o := range outcomes {
		switch o := o.(type) {
		case isolator.Write:
			f.writeCrashes(by, o)
		case isolator.Check:
			go f.steps.Call(coreCleanup, o, func() { f.checkProcess(o.On) })
		case isolator.Suspected:
			f.metrics.suspectedTraits.Inc()
			f.log.Info().Str("Trait", string(o.Trait)).Str("Upstream", string(o.On.Upstream)).Int("Crashes", o.Crashes).Msg("TraitSuspected")
		case isolator.Blocked:
			f.log.Warn().Str("Trait", string(o.Trait)).Int("Crashes", o.Crashes).Msg("TraitBlocked")
		case isolator.Unblocked:
			f.log.Info().Str("Trait", string(o.Trait)).Msg("TraitUnblocked")
		case isolator.ProbeClaimed:
			f.log.Info().Str("Trait", string(o.Trait)).Int("Probes", o.Probes).Msg("ProbeClaimed")
		}
	}
}

// writeCrashes never blocks: no other write follows before the result of this one.
func (f *Fleet) writeCrashes(by rebuildCount, o isolator.Write) {
	value, err := encodeCrashes(o.Record)
	if err != nil {
		f.log.Error().Str("Key", crashesKey).AnErr("Error", err).Msg("RecordNotWritten")
		f.stepIsolation(isolator.WriteFailed{})
		return
	}
	f.requestWrite(f.crashWrites, coreIsolation, by, recordWrite{
		value: value, expected: o.Expected,
		written: func(entry keeper.Entry) {
			f.stepIsolation(isolator.Written{Version: entry.Version, Era: entry.Era})
		},
		conflicted: func(entry keeper.Entry) bool {
			read, err := readEntry(f.steps, entry, decodeCrashes)
			if err == nil {
				f.stepIsolation(isolator.Conflicted{RecordRead: read})
			}
			return err == nil
		},
		failed: func() { f.stepIsolation(isolator.WriteFailed{}) },
	})
}

// handleCrashes handles the record of crashes that all VMs share.
func (f *Fleet) handleCrashes(entry keeper.Entry) {
	read, err := readEntry(f.steps, entry, decodeCrashes)
	if err != nil {
		f.logUnreadable(entry, err)
		return
	}
	f.stepIsolation(read)
}

func decodeCrashes(entry keeper.Entry) (isolator.RecordRead, error) {
	read := isolator.RecordRead{Version: entry.Version, Era: entry.Era, IsMissing: entry.Value == nil}
	var e wire.CrashRecord
	if err := proto.Unmarshal(entry.Value, &e); err != nil {
		return read, err
	}
	for _, one := range e.Suspects {
		s := isolator.Suspect{Trait: isolator.Trait(one.Trait), Depth: int(one.Depth), Probes: int(one.Probes), Returned: int(one.Returned)}
		for _, c := range one.Crashes {
			s.Crashes = append(s.Crashes, isolator.Crash{Upstream: identifier.Upstream(c.Upstream), Start: identifier.Incarnation(c.Incarnation)})
		}
		read.Record = append(read.Record, s)
	}
	return read, nil
}

func encodeCrashes(r isolator.Record) ([]byte, error) {
	e := &wire.CrashRecord{}
	for _, s := range r {
		one := &wire.CrashSuspect{Trait: string(s.Trait), Depth: uint32(s.Depth), Probes: uint32(s.Probes), Returned: uint32(s.Returned)}
		for _, c := range s.Crashes {
			one.Crashes = append(one.Crashes, &wire.EngineStart{Upstream: string(c.Upstream), Incarnation: uint64(c.Start)})
		}
		e.Suspects = append(e.Suspects, one)
	}
	return proto.Marshal(e)
}
