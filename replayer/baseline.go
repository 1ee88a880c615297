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
	// maxResultAge is how long after the prefill a baseline tries to transfer
	// the result. It is a little less than the time for which engines keep it.
	maxResultAge = 750 * time.Millisecond
	// transferRetryInterval is the pause before a transfer is tried again after no
	// decode engine was left to try.
	transferRetryInterval = 30 * time.Millisecond
	// meanRetryAfter is the mean RetryAfter of a refusing baseline.
	meanRetryAfter = time.Second
	// learningRate is the weight of a new value in a moving mean.
	learningRate = 0.1
)

// baselineOptions are the differences between the baselines.
type baselineOptions struct {
	// pick chooses an upstream from a list that is not empty.
	pick func(b *baseline, from []*trackedUpstream) *trackedUpstream
	// refuses is true if the baseline refuses requests whose first token would
	// be late according to the load reports.
	refuses bool
	// countsBacklog is true if the load of a prefill engine is the exact count
	// of own prefills in place of the reported load. This needs one owner of all
	// placements.
	countsBacklog bool
}

// baseline is a Policy that reserves no decode memory before the prefill.
type baseline struct {
	baselineOptions
	rng     *rand.Rand
	classes map[identifier.Class]admitter.Class
	// upstreams is sorted by ID.
	upstreams []*trackedUpstream
	attempts  map[admitter.Key]*placedAttempt
	// waiting holds the attempts whose transfer is retried at the next Wake, in
	// order.
	waiting []*placedAttempt
	// perTokenSeconds is the moving mean of the prefill time per uncached token,
	// meanPrefillSeconds that of a whole prefill.
	perTokenSeconds, meanPrefillSeconds float64
	lastTurn                            int
	now                                 time.Time
	outcomes                            []admitter.Outcome
}

// trackedUpstream is an upstream with its last report and the placements sent
// since.
type trackedUpstream struct {
	admitter.Upstream
	report admitter.LoadReport
	// sentSinceReport holds the own placements after the report.
	sentSinceReport []sentPlacement
	// backlog counts own prefills that have not ended.
	backlog  int
	lastTurn int
}

type sentPlacement struct {
	at     time.Time
	pieces identifier.Pieces
}

// placedAttempt is an attempt that the baseline placed.
type placedAttempt struct {
	ask     admitter.Ask
	prefill *trackedUpstream
	decode  *trackedUpstream
	pieces  identifier.Pieces
	// prefilledAt is when the prefill ended, or zero before.
	prefilledAt time.Time
	// triedDecodes holds the decode engines that failed in the present round.
	triedDecodes []*trackedUpstream
}

// BaselinePolicies returns the policies that figtrack is compared with, each
// with and without refusals.
func BaselinePolicies() []PolicyFactory {
	var makers []PolicyFactory
	add := func(name string, options baselineOptions, perVM bool) {
		makers = append(makers,
			PolicyFactory{Name: name, PerVM: perVM, New: options.newFunc()},
			PolicyFactory{Name: name + "-refusing", PerVM: perVM, New: options.withRefusals().newFunc()})
	}
	add("round-robin", baselineOptions{pick: (*baseline).roundRobin}, true)
	add("least-load", baselineOptions{pick: (*baseline).leastLoad}, true)
	add("two-choices", baselineOptions{pick: (*baseline).twoChoices}, true)
	add("no-reservation", baselineOptions{pick: (*baseline).leastLoad, countsBacklog: true}, false)
	return makers
}

func (o baselineOptions) withRefusals() baselineOptions {
	o.refuses = true
	return o
}

func (o baselineOptions) newFunc() func(tracer.Header, uint64) Policy {
	return func(_ tracer.Header, seed uint64) Policy {
		return &baseline{
			baselineOptions: o,
			rng:             rand.New(rand.NewPCG(seed, 2)),
			classes:         make(map[identifier.Class]admitter.Class),
			attempts:        make(map[admitter.Key]*placedAttempt),
		}
	}
}

// Step implements Policy.
func (b *baseline) Step(now time.Time, event admitter.Event) []admitter.Outcome {
	b.now, b.outcomes = now, nil
	switch event := event.(type) {
	case admitter.ClassChanged:
		b.classes[event.Class.Name] = event.Class
	case admitter.UpstreamChanged:
		b.changeUpstream(event.Upstream)
	case admitter.LoadReport:
		b.applyLoadReport(event)
	case admitter.Ask:
		b.handleAsk(event)
	case admitter.PrefillEnded:
		b.prefillEnded(event)
	case admitter.TransferFailed:
		b.transferFailed(event)
	case admitter.Withdraw:
		b.removeAttempt(event.Key)
	case admitter.Ended:
		b.removeAttempt(event.Key)
	case admitter.Wake:
		b.retryWaiting()
	case admitter.TransferEnded, admitter.FirstToken, admitter.CacheReport:
	}
	return b.outcomes
}

func (b *baseline) changeUpstream(u admitter.Upstream) {
	at, found := slices.BinarySearchFunc(b.upstreams, u.ID, func(t *trackedUpstream, id identifier.Upstream) int {
		return cmp.Compare(t.ID, id)
	})
	if !found {
		first := admitter.LoadReport{Upstream: u.ID, FreePieces: u.Pieces}
		b.upstreams = slices.Insert(b.upstreams, at, &trackedUpstream{report: first})
	}
	b.upstreams[at].Upstream = u
}

func (b *baseline) applyLoadReport(report admitter.LoadReport) {
	for _, t := range b.upstreams {
		if t.ID != report.Upstream {
			continue
		}
		t.report = report
		t.sentSinceReport = slices.DeleteFunc(t.sentSinceReport, func(s sentPlacement) bool { return s.at.Before(report.At) })
	}
}

func (b *baseline) handleAsk(ask admitter.Ask) {
	prefills := b.candidates(identifier.RolePrefill, ask.Excluded, nil)
	decodes := b.candidates(identifier.RoleDecode, ask.Excluded, nil)
	if len(prefills) == 0 || len(decodes) == 0 {
		b.refuse(ask, admitter.ReasonNoUpstream)
		return
	}
	f := &placedAttempt{ask: ask, pieces: identifier.PiecesFor(ask.Prompt + ask.MaxOutput)}
	f.prefill, f.decode = b.pick(b, prefills), b.pick(b, decodes)
	if b.refuses && b.isTooLate(f, decodes) {
		b.refuse(ask, admitter.ReasonTargetOutOfReach)
		return
	}
	b.attempts[ask.Key] = f
	f.prefill.backlog++
	b.recordSent(f.prefill, 0)
	b.recordSent(f.decode, f.pieces)
	b.outcomes = append(b.outcomes, admitter.Place{
		Key: ask.Key, To: ask.From, Prefill: f.prefill.ID, Decode: f.decode.ID,
		Pieces: f.pieces, TransferWithin: f.transferTimeout(),
	})
}

// isTooLate reports whether the first token is expected after its target, or no
// decode engine has room. It also holds if the queue is longer than the
// shortest target of any class: otherwise classes with long targets would fill
// the queue and keep the others from being served.
func (b *baseline) isTooLate(f *placedAttempt, decodes []*trackedUpstream) bool {
	wait := seconds(float64(b.load(f.prefill)) * b.meanPrefillSeconds)
	if wait > b.shortestTarget() {
		return true
	}
	own := seconds(b.perTokenSeconds * float64(f.ask.Prompt))
	due := f.ask.Arrived.Add(b.classes[f.ask.Class].FirstToken)
	if b.now.Add(wait + own).After(due) {
		return true
	}
	fits := func(t *trackedUpstream) bool { return t.hasRoom(f.pieces) }
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
	spread := time.Duration(b.rng.Int64N(int64(meanRetryAfter)))
	b.outcomes = append(b.outcomes, admitter.Refuse{
		Key: ask.Key, To: ask.From, Reason: reason, RetryAfter: meanRetryAfter/2 + spread,
	})
}

func (b *baseline) prefillEnded(ended admitter.PrefillEnded) {
	f, ok := b.attempts[ended.Key]
	if !ok {
		return
	}
	f.prefill.backlog--
	f.prefilledAt = b.now
	took := ended.Took.Seconds()
	b.meanPrefillSeconds += learningRate * (took - b.meanPrefillSeconds)
	if uncached := f.ask.Prompt - ended.Cached; uncached > 0 {
		b.perTokenSeconds += learningRate * (took/float64(uncached) - b.perTokenSeconds)
	}
}

// transferFailed tries the next decode engine, unless the result is older than
// maxResultAge.
func (b *baseline) transferFailed(failed admitter.TransferFailed) {
	f, ok := b.attempts[failed.Key]
	if !ok {
		return
	}
	f.triedDecodes = append(f.triedDecodes, f.decode)
	b.tryNextDecode(f)
}

func (b *baseline) tryNextDecode(f *placedAttempt) {
	if b.now.Sub(f.prefilledAt) > maxResultAge {
		b.abandon(f)
		return
	}
	decodes := b.candidates(identifier.RoleDecode, f.ask.Excluded, f.triedDecodes)
	if len(decodes) == 0 {
		f.triedDecodes = nil
		b.waiting = append(b.waiting, f)
		b.outcomes = append(b.outcomes, admitter.WakeAt{At: b.now.Add(transferRetryInterval)})
		return
	}
	f.decode = b.pick(b, decodes)
	b.recordSent(f.decode, f.pieces)
	b.outcomes = append(b.outcomes, admitter.Move{
		Key: f.ask.Key, To: f.ask.From, Decode: f.decode.ID,
		Pieces: f.pieces, TransferWithin: f.transferTimeout(),
	})
}

func (b *baseline) abandon(f *placedAttempt) {
	b.removeAttempt(f.ask.Key)
	b.outcomes = append(b.outcomes, admitter.Abandon{Key: f.ask.Key, To: f.ask.From, Reason: admitter.ReasonNoUpstream})
}

func (b *baseline) retryWaiting() {
	due := b.waiting
	b.waiting = nil
	for _, f := range due {
		if b.attempts[f.ask.Key] == f {
			b.tryNextDecode(f)
		}
	}
}

func (b *baseline) removeAttempt(key admitter.Key) {
	f, ok := b.attempts[key]
	if !ok {
		return
	}
	delete(b.attempts, key)
	if f.prefilledAt.IsZero() {
		f.prefill.backlog--
	}
}

// transferTimeout returns a generous bound: a quarter of a second plus five
// times what the transfer takes on an idle link of 100,000 tokens per second.
func (f *placedAttempt) transferTimeout() time.Duration {
	return 250*time.Millisecond + time.Duration(f.ask.Prompt)*50*time.Microsecond
}
