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

// Costs and delays that logs don't contain. The logs state the memory and stream
// slots of engines; the rest is from the data sheets of the users' sites.
const (
	assumedPrefillPerToken = 30 * time.Microsecond
	assumedStepBase        = 2600 * time.Microsecond
	// assumedStepPerStream gives a batch of thirteen streams, which fills
	// the memory, the time per token that is observed at these sites.
	assumedStepPerStream       = 120 * time.Microsecond
	assumedResultTTL           = 2 * time.Second
	assumedLinkTokensPerSecond = 5_000_000
	assumedLoadLag             = 300 * time.Millisecond
	// assumedCacheBlocks has room for the shared prefixes, which are short.
	assumedCacheBlocks = 64
	// assumedDelayBetween is the one-way delay between data centres.
	assumedDelayBetween = 4 * time.Millisecond
	assumedDelayInside  = 500 * time.Microsecond
	// logReturns is 0, as a request that a caller sent again is in the logs as a
	// request of its own.
	logReturns = 0
	// tokensPerEvent is how many tokens an event after the longest gap is
	// assumed to carry. It turns the target for that gap into a PerToken
	// target.
	tokensPerEvent = 5
)

// LogSelection selects the part of the logs to replay. From and To are times of
// day on the day of the first log line, or RFC 3339 times; an empty one sets no
// bound.
type LogSelection struct {
	From, To string
	// Pool is a pool with engines; if empty, the pool with the most requests
	// is used.
	Pool identifier.Pool
}

// LogOutcomes counts the outcomes of the requests in the logs.
type LogOutcomes struct {
	Requests, Answered, Refused, Other int
	// InTarget counts the answers whose first byte came within the target.
	InTarget int
}

// FromLogs makes a trace from the logs of VMs that route on the users' platform.
// Output lengths are the callers' estimates, as the logs don't count tokens.
func FromLogs(cut LogSelection, logs ...io.Reader) (*Trace, LogOutcomes, error) {
	lines, err := explainer.ReadLogs(logs)
	if err != nil {
		return nil, LogOutcomes{}, err
	}
	if len(lines) == 0 {
		return nil, LogOutcomes{}, errors.New("the logs have no line of a VM; give what figtrack serve wrote on standard output")
	}
	b := &logReader{trace: &Trace{}, selection: cut, arrivals: map[string]explainer.Entry{}, runners: map[string]explainer.Entry{}, classes: map[string]explainer.Entry{}}
	b.choosePool(lines)
	if b.selection.Pool == "" {
		return nil, LogOutcomes{}, errors.New("the logs have no request for a pool with engines; give the logs of all VMs, with Log.Level info")
	}
	if b.from, err = parseTime(cut.From, lines[0].At); err != nil {
		return nil, LogOutcomes{}, err
	}
	if b.to, err = parseTime(cut.To, lines[0].At); err != nil {
		return nil, LogOutcomes{}, err
	}
	for _, e := range lines {
		b.handleEntry(e)
	}
	if err := b.finish(); err != nil {
		return nil, LogOutcomes{}, err
	}
	return b.trace, b.outcomes, nil
}

// logReader builds a trace from log entries.
type logReader struct {
	trace     *Trace
	selection LogSelection
	outcomes  LogOutcomes
	// arrivals, runners and classes hold the first entry about each request,
	// runner and class of the pool.
	arrivals, runners, classes map[string]explainer.Entry
	// pool is the latest PoolInForce entry of the pool.
	pool explainer.Entry
	vms  []identifier.VM
	// from and to bound the arrivals and faults to replay: from is inclusive, to
	// is exclusive. A zero time sets no bound.
	from, to time.Time
}

// parseTime parses a bound of a LogSelection; an empty text gives the zero time.
func parseTime(text string, first time.Time) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	return explainer.ParseMoment(text, first)
}

// choosePool selects the pool with the most prompts unless the caller chose one.
func (b *logReader) choosePool(lines []explainer.Entry) {
	count := map[string]int{}
	for _, e := range lines {
		if e.Message == "Arrived" && e.Input > 0 {
			count[e.Pool]++
		}
	}
	if b.selection.Pool != "" || len(count) == 0 {
		return
	}
	pools := slices.Sorted(maps.Keys(count))
	b.selection.Pool = identifier.Pool(slices.MaxFunc(pools, func(x, y string) int { return cmp.Compare(count[x], count[y]) }))
}

// isInRange reports whether a time lies within the bounds to replay.
func (b *logReader) isInRange(at time.Time) bool {
	return !at.Before(b.from) && (b.to.IsZero() || at.Before(b.to))
}

func (b *logReader) handleEntry(e explainer.Entry) {
	if vm := identifier.VM(e.VM); vm != "" && !slices.Contains(b.vms, vm) {
		b.vms = append(b.vms, vm)
	}
	inPool := e.Pool == string(b.selection.Pool)
	switch e.Message {
	case "PoolInForce":
		if inPool {
			b.pool = e
		}
	case "RunnerJoined":
		if _, known := b.runners[e.Upstream]; inPool && !known && e.Role != string(identifier.RolePlain) {
			b.runners[e.Upstream] = e
		}
	case "RunnerGone":
		if r, known := b.runners[e.Upstream]; known && r.VM == e.VM && b.isInRange(e.At) {
			b.addFault(e.At, FaultUpstreamDies, e.Upstream)
		}
	case "Arrived":
		if inPool && e.Input > 0 && b.isInRange(e.At) {
			b.addArrival(e)
		}
	case "Abandoned":
		if _, ok := b.arrivals[e.Request]; ok {
			b.outcomes.Other++
			b.trace.Cancels = append(b.trace.Cancels, Cancel{KindCancel, e.At, identifier.Request(e.Request)})
		}
	case "Answered", "NotRun", "Unknown", "Broken", "AnswerBroken", "Panicked":
		b.countOutcome(e)
	}
}

func (b *logReader) addFault(at time.Time, kind FaultKind, upstream string) {
	b.trace.Faults = append(b.trace.Faults, Fault{Kind: KindFault, Time: at, Fault: kind, Upstream: identifier.Upstream(upstream)})
}

func (b *logReader) addArrival(e explainer.Entry) {
	if _, again := b.arrivals[e.Request]; again {
		b.trace.Repeated++
		return
	}
	b.arrivals[e.Request] = e
	b.outcomes.Requests++
	if _, ok := b.classes[e.Route]; !ok {
		b.classes[e.Route] = e
	}
	limit := max(identifier.Tokens(e.Output), 1)
	expected := identifier.Tokens(e.Expected)
	if expected <= 0 || expected > limit {
		expected = limit
	}
	b.trace.Arrivals = append(b.trace.Arrivals, Arrival{
		Kind: KindArrival, Time: e.At, Request: identifier.Request(e.Request), Class: identifier.Class(e.Route),
		Model: "m", VM: identifier.VM(e.VM), Prompt: identifier.Tokens(e.Input),
		// VMs reserve memory for the expected output only, so it is also the
		// limit here.
		Output: expected, MaxOutput: expected,
	})
}

func (b *logReader) countOutcome(e explainer.Entry) {
	arrived, ok := b.arrivals[e.Request]
	if !ok {
		return
	}
	switch e.Message {
	case "Answered":
		b.outcomes.Answered++
		if e.First <= arrived.Target {
			b.outcomes.InTarget++
		}
	case "NotRun":
		b.outcomes.Refused++
	case "Unknown", "Broken", "Panicked":
		b.outcomes.Other++
	}
}

// finish completes the header, adds the faults of runners that joined late and
// checks the header and arrivals.
func (b *logReader) finish() error {
	t := b.trace
	if len(t.Arrivals) == 0 {
		return errors.Errorf("the logs have no request for pool %q in that time, from %q to %q", b.selection.Pool, b.selection.From, b.selection.To)
	}
	if b.pool.Memory == 0 {
		return errors.Errorf("the logs have no PoolInForce line of pool %q; give the logs from the start of a VM", b.selection.Pool)
	}
	first, last := t.Arrivals[0].Time, t.Arrivals[len(t.Arrivals)-1].Time
	t.Header = Header{
		Kind: KindHeader, Time: first, Site: string(b.selection.Pool), Scenario: "log", Load: 1, Prefer: admitter.PreferGoodput,
		PeakFrom: first, PeakTo: last, DelayInside: assumedDelayInside, DelayBetween: assumedDelayBetween,
		LoadEvery: assumedLoadLag, Returns: logReturns,
	}
	for _, vm := range b.vms {
		t.Header.VMs = append(t.Header.VMs, VM{ID: vm, DataCentre: "one"})
	}
	for _, name := range slices.Sorted(maps.Keys(b.classes)) {
		e := b.classes[name]
		gap := time.Duration(max(e.Gap, 1) * float64(time.Millisecond))
		t.Header.Classes = append(t.Header.Classes, admitter.Class{
			Name: identifier.Class(name), FirstToken: time.Duration(max(e.Target, 1) * float64(time.Millisecond)), PerToken: max(gap/tokensPerEvent, time.Millisecond),
		})
	}
	for _, id := range slices.Sorted(maps.Keys(b.runners)) {
		e := b.runners[id]
		t.Header.Upstreams = append(t.Header.Upstreams, b.newUpstream(e))
		if e.At.After(first) {
			b.addFault(first, FaultUpstreamDies, id)
			b.addFault(e.At, FaultUpstreamRestarts, id)
		}
	}
	slices.SortStableFunc(t.Faults, func(x, y Fault) int { return x.Time.Compare(y.Time) })
	if err := checkHeader(t.Header); err != nil {
		return errors.Wrap(err, "the logs make no valid trace")
	}
	for _, a := range t.Arrivals {
		if err := checkArrival(t.Header, a); err != nil {
			return errors.Wrapf(err, "Arrival of %q", a.Request)
		}
	}
	return nil
}

func (b *logReader) newUpstream(e explainer.Entry) Upstream {
	settings := faker.EngineSettings{
		ID: identifier.Upstream(e.Upstream), Role: identifier.Role(e.Role), LoadLag: assumedLoadLag,
		PrefillPerToken: assumedPrefillPerToken, ResultLives: assumedResultTTL, CacheBlocks: assumedCacheBlocks,
	}
	if settings.Role == identifier.RoleDecode {
		settings.StepBase, settings.StepPerStream = assumedStepBase, assumedStepPerStream
		settings.Pieces = b.enginePieces()
		settings.Streams = b.pool.Slots
		settings.LinkTokensPerSecond = assumedLinkTokensPerSecond
	}
	return Upstream{DataCentre: "one", EngineSettings: settings}
}

// enginePieces returns the memory of a decode engine in pieces. The users'
// engines allot memory in smaller blocks than a piece, so the memory is scaled up
// by what rounding to whole pieces adds to the requests.
func (b *logReader) enginePieces() identifier.Pieces {
	var tokens, rounded identifier.Tokens
	for _, a := range b.trace.Arrivals {
		n := a.Prompt + a.MaxOutput
		tokens += n
		rounded += identifier.Tokens(identifier.PiecesFor(n)) * identifier.PieceTokens
	}
	return identifier.Pieces(float64(b.pool.Memory) * float64(rounded) / float64(tokens) / float64(identifier.PieceTokens))
}
