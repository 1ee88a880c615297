package replayer

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/tracer"
)

const (
	// resultUse is how long after its prefill a baseline tries to place a
	// result, a little less than the result lives.
	resultUse = 750 * time.Millisecond
	// sweepPause is the time between two rounds over the decode engines.
	sweepPause = 30 * time.Millisecond
	// returnAfter is the middle of the RetryAfter of a refusing baseline.
	returnAfter = time.Second
	// learning is the weight of a new reading in a learned mean.
	learning = 0.1
)

// baselineOptions tell the baselines apart.
type baselineOptions struct {
	// pick chooses one of at least one candidates.
	pick func(b *baseline, from []*target) *target
	// refuses says that requests whose first token can't be on time by the
	// load reports are refused.
	refuses bool
	// ledger says that the baseline counts its own prefills exactly, as an
	// owner of all placements can.
	ledger bool
}

// baseline admits and places without a reservation before the prefill.
type baseline struct {
	baselineOptions
	rng     *rand.Rand
	classes map[identifier.Class]admitter.Class
	// targets is ordered by id.
	targets []*target
	flights map[admitter.Key]*flight
	// waiting holds the flights to try again at a Wake, in order.
	waiting []*flight
	// perToken is the learned prefill time of an uncached token in seconds,
	// mean the learned time of a whole prefill.
	perToken, mean float64
	turn           int
	now            time.Time
	out            []admitter.Outcome
}

// target is an upstream with its last report.
type target struct {
	admitter.Upstream
	report admitter.LoadReport
	// sent holds the times of own placements after the report.
	sent []sending
	// backlog counts own prefills that have not ended.
	backlog int
	turn    int
}

type sending struct {
	at     time.Time
	pieces identifier.Pieces
}

// flight is an attempt that the baseline placed.
type flight struct {
	ask     admitter.Ask
	prefill *target
	decode  *target
	pieces  identifier.Pieces
	// prefilled is when the prefill ended.
	prefilled time.Time
	// tried holds the decode engines of this round.
	tried []*target
}

// Baselines returns the policies to compare with.
func Baselines() []Maker {
	var makers []Maker
	add := func(name string, options baselineOptions, perVM bool) {
		makers = append(makers,
			Maker{Name: name, PerVM: perVM, New: options.make()},
			Maker{Name: name + "-refusing", PerVM: perVM, New: options.refusing().make()})
	}
	add("round-robin", baselineOptions{pick: (*baseline).roundRobin}, true)
	add("least-load", baselineOptions{pick: (*baseline).leastLoad}, true)
	add("two-choices", baselineOptions{pick: (*baseline).twoChoices}, true)
	add("no-reservation", baselineOptions{pick: (*baseline).leastLoad, ledger: true}, false)
	return makers
}

func (o baselineOptions) refusing() baselineOptions {
	o.refuses = true
	return o
}

func (o baselineOptions) make() func(tracer.Header, uint64) Policy {
	return func(_ tracer.Header, seed uint64) Policy {
		return &baseline{
			baselineOptions: o,
			rng:             rand.New(rand.NewPCG(seed, 2)),
			classes:         make(map[identifier.Class]admitter.Class),
			flights:         make(map[admitter.Key]*flight),
		}
	}
}

// Step advances the baseline.
func (b *baseline) Step(now time.Time, event admitter.Event) []admitter.Outcome {
	b.now, b.out = now, nil
	switch event := event.(type) {
	case admitter.ClassChanged:
		b.classes[event.Class.Name] = event.Class
	case admitter.UpstreamChanged:
		b.changeUpstream(event.Upstream)
	case admitter.LoadReport:
		b.hearLoad(event)
	case admitter.Ask:
		b.ask(event)
	case admitter.PrefillEnded:
		b.prefillEnded(event)
	case admitter.TransferFailed:
		b.transferFailed(event)
	case admitter.Withdraw:
		b.forget(event.Key)
	case admitter.Ended:
		b.forget(event.Key)
	case admitter.Wake:
		b.wake()
	case admitter.TransferEnded, admitter.FirstToken, admitter.CacheReport:
	}
	return b.out
}

func (b *baseline) changeUpstream(u admitter.Upstream) {
	at, found := slices.BinarySearchFunc(b.targets, u.ID, func(t *target, id identifier.Upstream) int {
		return cmp.Compare(t.ID, id)
	})
	if !found {
		first := admitter.LoadReport{Upstream: u.ID, FreePieces: u.Pieces}
		b.targets = slices.Insert(b.targets, at, &target{report: first})
	}
	b.targets[at].Upstream = u
}

func (b *baseline) hearLoad(report admitter.LoadReport) {
	for _, t := range b.targets {
		if t.ID != report.Upstream {
			continue
		}
		t.report = report
		t.sent = slices.DeleteFunc(t.sent, func(s sending) bool { return s.at.Before(report.At) })
	}
}

func (b *baseline) ask(ask admitter.Ask) {
	prefills := b.usable(identifier.RolePrefill, ask.Excluded, nil)
	decodes := b.usable(identifier.RoleDecode, ask.Excluded, nil)
	if len(prefills) == 0 || len(decodes) == 0 {
		b.refuse(ask, admitter.ReasonNoUpstream)
		return
	}
	f := &flight{ask: ask, pieces: identifier.PiecesFor(ask.Prompt + ask.MaxOutput)}
	f.prefill, f.decode = b.pick(b, prefills), b.pick(b, decodes)
	if b.refuses && b.tooLate(f, decodes) {
		b.refuse(ask, admitter.ReasonTargetOutOfReach)
		return
	}
	b.flights[ask.Key] = f
	f.prefill.backlog++
	b.note(f.prefill, 0)
	b.note(f.decode, f.pieces)
	b.out = append(b.out, admitter.Place{
		Key: ask.Key, To: ask.From, Prefill: f.prefill.ID, Decode: f.decode.ID,
		Pieces: f.pieces, TransferWithin: f.transferWithin(),
	})
}

// tooLate says whether the reports promise the first token after the target.
// No class may fill the queue beyond the shortest target, else the patient
// classes would shut out the others.
func (b *baseline) tooLate(f *flight, decodes []*target) bool {
	wait := seconds(float64(b.load(f.prefill)) * b.mean)
	if wait > b.shortestTarget() {
		return true
	}
	own := seconds(b.perToken * float64(f.ask.Prompt))
	due := f.ask.Arrived.Add(b.classes[f.ask.Class].FirstToken)
	if b.now.Add(wait + own).After(due) {
		return true
	}
	fits := func(t *target) bool { return t.hasRoom(f.pieces) }
	return !slices.ContainsFunc(decodes, fits)
}

func (b *baseline) shortestTarget() time.Duration {
	shortest := time.Duration(math.MaxInt64)
	for _, class := range b.classes {
		shortest = min(shortest, class.FirstToken)
	}
	return shortest
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (b *baseline) refuse(ask admitter.Ask, reason admitter.Reason) {
	spread := time.Duration(b.rng.Int64N(int64(returnAfter)))
	b.out = append(b.out, admitter.Refuse{
		Key: ask.Key, To: ask.From, Reason: reason, RetryAfter: returnAfter/2 + spread,
	})
}

func (b *baseline) prefillEnded(ended admitter.PrefillEnded) {
	f, ok := b.flights[ended.Key]
	if !ok {
		return
	}
	f.prefill.backlog--
	f.prefilled = b.now
	took := ended.Took.Seconds()
	b.mean += learning * (took - b.mean)
	if uncached := f.ask.Prompt - ended.Cached; uncached > 0 {
		b.perToken += learning * (took/float64(uncached) - b.perToken)
	}
}

// transferFailed tries the next decode engine while the result lives.
func (b *baseline) transferFailed(failed admitter.TransferFailed) {
	f, ok := b.flights[failed.Key]
	if !ok {
		return
	}
	f.tried = append(f.tried, f.decode)
	b.moveOn(f)
}

func (b *baseline) moveOn(f *flight) {
	if b.now.Sub(f.prefilled) > resultUse {
		b.abandon(f)
		return
	}
	decodes := b.usable(identifier.RoleDecode, f.ask.Excluded, f.tried)
	if len(decodes) == 0 {
		f.tried = nil
		b.waiting = append(b.waiting, f)
		b.out = append(b.out, admitter.WakeAt{At: b.now.Add(sweepPause)})
		return
	}
	f.decode = b.pick(b, decodes)
	b.note(f.decode, f.pieces)
	b.out = append(b.out, admitter.Move{
		Key: f.ask.Key, To: f.ask.From, Decode: f.decode.ID,
		Pieces: f.pieces, TransferWithin: f.transferWithin(),
	})
}

func (b *baseline) abandon(f *flight) {
	b.forget(f.ask.Key)
	b.out = append(b.out, admitter.Abandon{Key: f.ask.Key, To: f.ask.From, Reason: admitter.ReasonNoUpstream})
}

func (b *baseline) wake() {
	due := b.waiting
	b.waiting = nil
	for _, f := range due {
		if b.flights[f.ask.Key] == f {
			b.moveOn(f)
		}
	}
}

func (b *baseline) forget(key admitter.Key) {
	f, ok := b.flights[key]
	if !ok {
		return
	}
	delete(b.flights, key)
	if f.prefilled.IsZero() {
		f.prefill.backlog--
	}
}

// transferWithin is generous: a quarter of a second and five times the time
// that a free link of 100,000 tokens a second takes.
func (f *flight) transferWithin() time.Duration {
	return 250*time.Millisecond + time.Duration(f.ask.Prompt)*50*time.Microsecond
}
