package router

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/figtrack/figtrack/apportioner"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/keeper"
	"github.com/figtrack/figtrack/tracker"
	"github.com/figtrack/figtrack/versioner"
	"github.com/figtrack/figtrack/wire"
)

// HandleRate implements AnnouncementListener.
func (f *Fleet) HandleRate(r tracker.Runner, rate identifier.Rate, sentAt time.Time) {
	isRelevant := rate > 0
	f.step(coreRates, rate, func() { isRelevant = isRelevant || f.rates.HasLimits() })
	if isRelevant {
		f.stepRates(apportioner.Named{By: processOf(r), Rate: rate, SentAt: sentAt})
	}
}

// HandleUnusableRate implements AnnouncementListener.
func (f *Fleet) HandleUnusableRate(r tracker.Runner, text string) {
	f.logRunner(r).Str("Text", text).Msg("RateNotUsable")
}

func processOf(r tracker.Runner) apportioner.Process {
	return apportioner.Process{Upstream: r.ID, Start: r.Start}
}

// TakeSend implements attempter.Fleet.
func (f *Fleet) TakeSend(now time.Time, r tracker.Runner) (ok bool) {
	isDone := f.step(coreRates, r, func() { ok = f.rates.TakeSend(now, processOf(r)) })
	return ok && isDone
}

// ReturnSend implements attempter.Fleet.
func (f *Fleet) ReturnSend(now time.Time, r tracker.Runner) {
	f.step(coreRates, r, func() { f.rates.ReturnSend(now, processOf(r)) })
}

// RateLeft implements attempter.Fleet.
func (f *Fleet) RateLeft(now time.Time, pool identifier.Pool) (left time.Duration) {
	f.step(coreChoice, pool, func() { left = f.rateLeft(now, pool) })
	return left
}

// rateLeft does the work of RateLeft. f.mu must be held.
func (f *Fleet) rateLeft(now time.Time, pool identifier.Pool) time.Duration {
	if !f.rates.HasLimits() {
		return 0
	}
	least := time.Duration(0)
	for _, r := range f.view.Pool(pool) {
		if r.Role == identifier.RolePrefill || f.view.RefusesNew(now, r) {
			continue
		}
		left := f.rates.SendAfter(now, processOf(r))
		if left == 0 {
			return 0
		}
		if least == 0 || left < least {
			least = left
		}
	}
	return least
}

// chooseByRate chooses a runner to which this VM may send one more request now, and takes
// that send. f.mu must be held.
func (f *Fleet) chooseByRate(now time.Time, without tracker.Without, from func(tracker.Without) (tracker.Runner, bool)) (tracker.Runner, bool) {
	if !f.rates.HasLimits() {
		return from(without)
	}
	all := tracker.Without{}
	for id, isExcluded := range without {
		all[id] = isExcluded
	}
	for _, p := range f.rates.Limits() {
		r, ok := f.view.Find(p.Upstream)
		if ok && r.Start == p.Start && f.rates.SendAfter(now, p) > 0 {
			all[p.Upstream] = true
		}
	}
	r, ok := from(all)
	return r, ok && f.rates.TakeSend(now, processOf(r))
}

// stepRates passes an event to the division of rates and performs its outcomes.
func (f *Fleet) stepRates(e apportioner.Event) {
	var outcomes []apportioner.Outcome
	var by rebuildCount
	if !f.step(coreRates, e, func() {
		by = f.rebuildsOf(coreRates)
		outcomes = f.rates.Step(time.Now(), e)
		f.metrics.limitedRunners.Set(float64(len(f.rates.Limits())))
	}) {
		return
	}
	f.performRates(by, outcomes)
}

// performRates performs the outcomes of the division that was rebuilt by times.
func (f *Fleet) performRates(by rebuildCount, outcomes []apportioner.Outcome) {
	for _, o := range outcomes {
		switch o := o.(type) {
		case apportioner.Write:
			f.writeRates(by, o)
		case apportioner.Limited:
			f.log.Info().Str("Upstream", string(o.Of.Upstream)).Float64("Rate", float64(o.Rate)).Float64("Share", float64(o.Share)).Msg("RunnerLimited")
		case apportioner.Unlimited:
			f.log.Info().Str("Upstream", string(o.Of.Upstream)).Msg("RunnerUnlimited")
		}
	}
}

// updateShares divides the rates again if the roster has changed.
func (f *Fleet) updateShares() {
	var vms []identifier.VM
	var self identifier.VM
	isChanged := false
	f.step(coreRoster, "vms", func() {
		vms, self = f.roster.vms(time.Now()), f.ownVM()
		isChanged = !slices.Equal(vms, f.sharingVMs) || f.sharingVMs == nil
		f.sharingVMs = vms
	})
	if isChanged {
		f.stepVersions(versioner.RosterChanged{Rank: rankOf(self, vms), VMs: vms})
		f.stepRates(apportioner.RosterChanged{Self: self, VMs: vms})
	}
}

// handleRates handles the record of rates that all VMs share.
func (f *Fleet) handleRates(entry keeper.Entry) {
	read, err := readEntry(f.steps, entry, decodeRates)
	if err != nil {
		f.logUnreadable(entry, err)
		return
	}
	f.stepRates(read)
}

// writeRates never blocks: no other write follows before the result of this one.
func (f *Fleet) writeRates(by rebuildCount, o apportioner.Write) {
	value, err := encodeRates(o.Record)
	if err != nil {
		f.log.Error().Str("Key", ratesKey).AnErr("Error", err).Msg("RecordNotWritten")
		f.stepRates(apportioner.WriteFailed{})
		return
	}
	f.requestWrite(f.rateWrites, coreRates, by, recordWrite{
		value: value, expected: o.Expected,
		written: func(entry keeper.Entry) {
			f.stepRates(apportioner.Written{Version: entry.Version, Era: entry.Era})
		},
		conflicted: func(entry keeper.Entry) bool {
			read, err := readEntry(f.steps, entry, decodeRates)
			if err == nil {
				f.stepRates(apportioner.Conflicted{RecordRead: read})
			}
			return err == nil
		},
		failed: func() { f.stepRates(apportioner.WriteFailed{}) },
	})
}

func decodeRates(entry keeper.Entry) (apportioner.RecordRead, error) {
	read := apportioner.RecordRead{Version: entry.Version, Era: entry.Era, IsMissing: entry.Value == nil}
	var e wire.RateRecord
	if err := proto.Unmarshal(entry.Value, &e); err != nil {
		return read, err
	}
	for _, one := range e.Runners {
		if one.Rate > 0 {
			of := apportioner.Process{Upstream: identifier.Upstream(one.Upstream), Start: identifier.Incarnation(one.Incarnation)}
			read.Record = append(read.Record, apportioner.Limit{Of: of, Rate: identifier.Rate(one.Rate)})
		}
	}
	return read, nil
}

func encodeRates(r apportioner.Record) ([]byte, error) {
	e := &wire.RateRecord{}
	for _, l := range r {
		e.Runners = append(e.Runners, &wire.RunnerRate{Upstream: string(l.Of.Upstream), Incarnation: uint64(l.Of.Start), Rate: float64(l.Rate)})
	}
	return proto.Marshal(e)
}
