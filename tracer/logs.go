package tracer

import (
	"cmp"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/explainer"
	"github.com/figtrack/figtrack/faker"
	"github.com/figtrack/figtrack/identifier"
)

// Costs of the engines of a fleet whose logs are read: the logs tell memory
// and slots, the rest is from the sheets of the users' sites.
const (
	sheetPrefillPerToken = 30 * time.Microsecond
	sheetStepBase        = 2600 * time.Microsecond
	// sheetStepPerStream makes a batch of thirteen, which fills the memory, run
	// at the pace that is seen there.
	sheetStepPerStream = 120 * time.Microsecond
	sheetResultLives   = 2 * time.Second
	sheetLinkTokens    = 5_000_000
	sheetLoadLag       = 300 * time.Millisecond
	// sheetCacheBlocks leaves room for the shared parts, which are short.
	sheetCacheBlocks = 64
	// sheetDelayBetween is one way between data centres.
	sheetDelayBetween = 4 * time.Millisecond
	sheetDelayInside  = 500 * time.Microsecond
	// sheetReturns: a caller that came back is in the logs as a request of its own.
	sheetReturns = 0
	// paceOfGap is how many tokens an event has that keeps the longest pause.
	paceOfGap = 5
)

// Cut chooses the part of a day that is replayed. Moments are times of day of
// the logs' first line, or RFC 3339; empty ones don't cut.
type Cut struct {
	From, To string
	// Pool is the pool with engines; empty for the one with most requests.
	Pool identifier.Pool
}

// Played is what came of the requests in the logs.
type Played struct {
	Requests, Answered, Refused, Other int
	// InTarget counts the answers whose first byte was in time.
	InTarget int
}

// FromLogs makes a trace of the logs of VMs that route on the users' platform.
// Output lengths are the callers' estimates, as logs don't count tokens.
func FromLogs(cut Cut, logs ...io.Reader) (*Trace, Played, error) {
	lines, err := explainer.ReadLogs(logs)
	if err != nil {
		return nil, Played{}, err
	}
	if len(lines) == 0 {
		return nil, Played{}, errors.New("the logs have no line of a VM; give what figtrack serve wrote on standard output")
	}
	b := &logReader{trace: &Trace{}, cut: cut, arrivals: map[string]explainer.Entry{}, runners: map[string]explainer.Entry{}, classes: map[string]explainer.Entry{}}
	b.choosePool(lines)
	if b.cut.Pool == "" {
		return nil, Played{}, errors.New("the logs have no request for a pool with engines; give the logs of all VMs, with Log.Level info")
	}
	if b.from, err = moment(cut.From, lines[0].At); err != nil {
		return nil, Played{}, err
	}
	if b.to, err = moment(cut.To, lines[0].At); err != nil {
		return nil, Played{}, err
	}
	for _, e := range lines {
		b.take(e)
	}
	if err := b.finish(); err != nil {
		return nil, Played{}, err
	}
	return b.trace, b.played, nil
}

// logReader turns log lines into a trace.
type logReader struct {
	trace  *Trace
	cut    Cut
	played Played
	// arrivals are the requests of the pool, runners and classes what was seen
	// of each first.
	arrivals, runners, classes map[string]explainer.Entry
	// pool is the newest line about the pool.
	pool explainer.Entry
	vms  []identifier.VM
	// from and to bound what is replayed; zero without a bound.
	from, to time.Time
}

func moment(text string, first time.Time) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	return explainer.Moment(text, first)
}

// choosePool takes the pool with most prompts.
func (b *logReader) choosePool(lines []explainer.Entry) {
	count := map[string]int{}
	for _, e := range lines {
		if e.Message == "Arrived" && e.Input > 0 {
			count[e.Pool]++
		}
	}
	if b.cut.Pool != "" || len(count) == 0 {
		return
	}
	pools := slices.Sorted(maps.Keys(count))
	b.cut.Pool = identifier.Pool(slices.MaxFunc(pools, func(x, y string) int { return cmp.Compare(count[x], count[y]) }))
}

func (b *logReader) isInside(at time.Time) bool {
	return !at.Before(b.from) && (b.to.IsZero() || at.Before(b.to))
}

func (b *logReader) take(e explainer.Entry) {
	if vm := identifier.VM(e.VM); vm != "" && !slices.Contains(b.vms, vm) {
		b.vms = append(b.vms, vm)
	}
	isOurs := e.Pool == string(b.cut.Pool)
	switch e.Message {
	case "PoolInForce":
		if isOurs {
			b.pool = e
		}
	case "RunnerJoined":
		if _, known := b.runners[e.Upstream]; isOurs && !known && e.Role != string(identifier.RolePlain) {
			b.runners[e.Upstream] = e
		}
	case "RunnerGone":
		if r, known := b.runners[e.Upstream]; known && r.VM == e.VM && b.isInside(e.At) {
			b.fault(e.At, FaultUpstreamDies, e.Upstream)
		}
	case "Arrived":
		if isOurs && e.Input > 0 && b.isInside(e.At) {
			b.arrive(e)
		}
	case "Abandoned":
		if _, ok := b.arrivals[e.Request]; ok {
			b.played.Other++
			b.trace.Cancels = append(b.trace.Cancels, Cancel{KindCancel, e.At, identifier.Request(e.Request)})
		}
	case "Answered", "NotRun", "Unknown", "Broken", "AnswerBroken":
		b.ended(e)
	}
}

func (b *logReader) fault(at time.Time, kind FaultKind, upstream string) {
	b.trace.Faults = append(b.trace.Faults, Fault{Kind: KindFault, Time: at, Fault: kind, Upstream: identifier.Upstream(upstream)})
}

func (b *logReader) arrive(e explainer.Entry) {
	if _, again := b.arrivals[e.Request]; again {
		b.trace.Repeated++
		return
	}
	b.arrivals[e.Request] = e
	b.played.Requests++
	if _, ok := b.classes[e.Route]; !ok {
		b.classes[e.Route] = e
	}
	most := max(identifier.Tokens(e.Output), 1)
	expected := identifier.Tokens(e.Expected)
	if expected <= 0 || expected > most {
		expected = most
	}
	b.trace.Arrivals = append(b.trace.Arrivals, Arrival{
		Kind: KindArrival, Time: e.At, Request: identifier.Request(e.Request), Class: identifier.Class(e.Route),
		Model: "m", VM: identifier.VM(e.VM), Prompt: identifier.Tokens(e.Input),
		// The VMs reserve what callers expect, so that this is the limit here.
		Output: expected, MaxOutput: expected,
	})
}

func (b *logReader) ended(e explainer.Entry) {
	arrived, ok := b.arrivals[e.Request]
	if !ok {
		return
	}
	switch e.Message {
	case "Answered":
		b.played.Answered++
		if e.First <= arrived.Target {
			b.played.InTarget++
		}
	case "NotRun":
		b.played.Refused++
	case "Unknown", "Broken":
		b.played.Other++
	}
}

// finish writes the header and checks the whole.
func (b *logReader) finish() error {
	t := b.trace
	if len(t.Arrivals) == 0 {
		return errors.Errorf("the logs have no request for pool %q in that time", b.cut.Pool)
	}
	if b.pool.Memory == 0 {
		return errors.Errorf("the logs have no PoolInForce line of pool %q; give the logs from the start of a VM", b.cut.Pool)
	}
	first, last := t.Arrivals[0].Time, t.Arrivals[len(t.Arrivals)-1].Time
	t.Header = Header{
		Kind: KindHeader, Time: first, Site: string(b.cut.Pool), Scenario: "log", Load: 1, Prefer: admitter.PreferGoodput,
		PeakFrom: first, PeakTo: last, DelayInside: sheetDelayInside, DelayBetween: sheetDelayBetween,
		LoadEvery: sheetLoadLag, Returns: sheetReturns,
	}
	for _, vm := range b.vms {
		t.Header.VMs = append(t.Header.VMs, VM{ID: vm, DataCentre: "one"})
	}
	for _, name := range slices.Sorted(maps.Keys(b.classes)) {
		e := b.classes[name]
		gap := time.Duration(max(e.Gap, 1) * float64(time.Millisecond))
		t.Header.Classes = append(t.Header.Classes, admitter.Class{
			Name: identifier.Class(name), FirstToken: time.Duration(max(e.Target, 1) * float64(time.Millisecond)), PerToken: max(gap/paceOfGap, time.Millisecond),
		})
	}
	for _, id := range slices.Sorted(maps.Keys(b.runners)) {
		e := b.runners[id]
		t.Header.Upstreams = append(t.Header.Upstreams, b.upstream(e))
		if e.At.After(first) {
			b.fault(first, FaultUpstreamDies, id)
			b.fault(e.At, FaultUpstreamRestarts, id)
		}
	}
	slices.SortStableFunc(t.Faults, func(x, y Fault) int { return x.Time.Compare(y.Time) })
	if err := checkHeader(t.Header); err != nil {
		return errors.Wrap(err, "the logs give no trace")
	}
	for _, a := range t.Arrivals {
		if err := checkArrival(t.Header, a); err != nil {
			return errors.Wrapf(err, "Arrival of %q", a.Request)
		}
	}
	return nil
}

func (b *logReader) upstream(e explainer.Entry) Upstream {
	settings := faker.EngineSettings{
		ID: identifier.Upstream(e.Upstream), Role: identifier.Role(e.Role), LoadLag: sheetLoadLag,
		PrefillPerToken: sheetPrefillPerToken, ResultLives: sheetResultLives, CacheBlocks: sheetCacheBlocks,
	}
	if settings.Role == identifier.RoleDecode {
		settings.StepBase, settings.StepPerStream = sheetStepBase, sheetStepPerStream
		settings.Pieces = b.pieces()
		settings.Streams = b.pool.Slots
		settings.LinkTokensPerSecond = sheetLinkTokens
	}
	return Upstream{DataCentre: "one", EngineSettings: settings}
}

// pieces returns the memory of an engine. The users' engines allot memory in
// small blocks, so that what rounding takes of each request here is added.
func (b *logReader) pieces() identifier.Pieces {
	var tokens, rounded identifier.Tokens
	for _, a := range b.trace.Arrivals {
		n := a.Prompt + a.MaxOutput
		tokens += n
		rounded += identifier.Tokens(identifier.PiecesFor(n)) * identifier.PieceTokens
	}
	return identifier.Pieces(float64(b.pool.Memory) * float64(rounded) / float64(tokens) / float64(identifier.PieceTokens))
}
