package admitter_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/identifier"
)

// The state machine test runs machineChecks times with about machineSteps steps
// each.
const (
	machineChecks = "120"
	machineSteps  = "120"
	machineQueue  = 24
	// maxReportGap is the longest time for which an attempt in prefill or
	// transfer goes without a report.
	maxReportGap = 2 * time.Second
)

// stage is the progress of an attempt in the model.
type stage int

const (
	waiting stage = iota
	prefilling
	transferring
	parked
	decoding
)

// attempt is one attempt as seen by its entry VM and the engines.
type attempt struct {
	key      admitter.Key
	stage    stage
	promised bool
	prefill  identifier.Upstream
	decode   identifier.Upstream
	pieces   identifier.Pieces
	since    time.Time
	answers  int
}

// machine drives a core and keeps a model of the engines.
type machine struct {
	*shard
	t          *rapid.T
	attempts   []*attempt
	lastNumber int
	states     map[identifier.Upstream]admitter.UpstreamState
	// events and outcomes are the complete history.
	events   []timedEvent
	outcomes []string
}

type timedEvent struct {
	at    time.Time
	event admitter.Event
}

var (
	machinePrefills = []identifier.Upstream{"prefill-0", "prefill-1"}
	machineDecodes  = []identifier.Upstream{"decode-0", "decode-1", "decode-2"}
)

func machineSettings(prefer admitter.Prefer) admitter.Settings {
	return admitter.Settings{Prefer: prefer, QueueLimit: machineQueue, DataCentre: "thamel-room"}
}

func newMachine(t *rapid.T) *machine {
	prefer := rapid.SampledFrom([]admitter.Prefer{admitter.PreferGoodput, admitter.PreferWastedPrefill}).Draw(t, "prefer")
	core := admitter.New(machineSettings(prefer), rand.New(rand.NewPCG(1, 2)))
	m := &machine{
		shard:  &shard{Core: core, now: start},
		t:      t,
		states: map[identifier.Upstream]admitter.UpstreamState{},
	}
	m.step(admitter.ClassChanged{Class: admitter.Class{Name: "Quick", FirstToken: 400 * time.Millisecond, PerToken: 45 * time.Millisecond}})
	m.step(admitter.ClassChanged{Class: admitter.Class{
		Name: "Reading", FirstToken: 2 * time.Second, PerToken: 60 * time.Millisecond, Patience: 10 * time.Second,
	}})
	for _, id := range slices.Concat(machinePrefills, machineDecodes) {
		m.setState(id, admitter.UpstreamUp)
	}
	return m
}

func (m *machine) step(e admitter.Event) {
	m.events = append(m.events, timedEvent{m.now, e})
	for _, o := range m.Step(m.now, e) {
		m.outcomes = append(m.outcomes, fmt.Sprintf("%T %+v", o, o))
		m.apply(o)
	}
	if n := m.Estimates().Queue; n > machineQueue {
		m.t.Fatalf("queue holds %d requests, the limit is %d", n, machineQueue)
	}
}

func (m *machine) apply(o admitter.Outcome) {
	switch o := o.(type) {
	case admitter.Place:
		x := m.answer(o.Key)
		x.stage, x.since = prefilling, m.now
		x.prefill, x.decode, x.pieces, x.promised = o.Prefill, o.Decode, o.Pieces, o.Promised
		m.mustBeUp(o.Prefill)
		m.mustBeUp(o.Decode)
		m.mustFit(o.Decode)
	case admitter.Move:
		x := m.find(o.Key)
		if x.stage != parked && x.stage != prefilling {
			m.t.Fatalf("%v moved in stage %d", o.Key, x.stage)
		}
		x.decode, x.promised, x.since = o.Decode, false, m.now
		if x.stage == parked {
			x.stage = transferring
		}
		m.mustBeUp(o.Decode)
		m.mustFit(o.Decode)
	case admitter.Refuse:
		m.answer(o.Key)
		m.drop(o.Key)
	case admitter.Abandon:
		m.find(o.Key)
		m.drop(o.Key)
	}
}

func (m *machine) find(k admitter.Key) *attempt {
	for _, x := range m.attempts {
		if x.key == k {
			return x
		}
	}
	m.t.Fatalf("outcome for %v, which has ended", k)
	return nil
}

// answer records the answer to an Ask and fails on a second one.
func (m *machine) answer(k admitter.Key) *attempt {
	x := m.find(k)
	x.answers++
	if x.answers != 1 {
		m.t.Fatalf("%v was answered %d times", k, x.answers)
	}
	return x
}

func (m *machine) drop(k admitter.Key) {
	m.attempts = slices.DeleteFunc(m.attempts, func(x *attempt) bool { return x.key == k })
}

func (m *machine) mustBeUp(id identifier.Upstream) {
	if m.states[id] != admitter.UpstreamUp {
		m.t.Fatalf("placement on %s, which is in state %s", id, m.states[id])
	}
}

// reserved returns the memory of an engine that is reserved for attempts,
// without memory that is only promised.
func (m *machine) reserved(id identifier.Upstream) identifier.Pieces {
	var n identifier.Pieces
	for _, x := range m.attempts {
		if x.decode == id && x.stage != waiting && x.stage != parked && !x.promised {
			n += x.pieces
		}
	}
	return n
}

func (m *machine) mustFit(id identifier.Upstream) {
	if n := m.reserved(id); n > machinePieces {
		m.t.Fatalf("%s has %d pieces reserved of %d", id, n, machinePieces)
	}
}

const machinePieces = 44

func (m *machine) setState(id identifier.Upstream, state admitter.UpstreamState) {
	m.states[id] = state
	role := identifier.RoleDecode
	if slices.Contains(machinePrefills, id) {
		role = identifier.RolePrefill
	}
	u := admitter.Upstream{ID: id, DataCentre: "thamel-room", Role: role, State: state}
	if role == identifier.RoleDecode {
		u.Pieces, u.Streams = machinePieces, 20
	}
	m.step(admitter.UpstreamChanged{Upstream: u})
}

func (m *machine) ask(t *rapid.T) {
	m.lastNumber++
	k := key(fmt.Sprintf("request-%d", m.lastNumber))
	k.Attempt = rapid.SampledFrom([]identifier.Attempt{1, 1, 1, 2}).Draw(t, "attempt")
	m.attempts = append(m.attempts, &attempt{key: k, since: m.now})
	m.step(admitter.Ask{
		Key: k, Class: rapid.SampledFrom([]identifier.Class{"Quick", "Quick", "Reading", "None"}).Draw(t, "class"),
		Workspace: rapid.SampledFrom([]identifier.Workspace{"a", "b", "c"}).Draw(t, "workspace"),
		From:      "vm-1", FromDataCentre: "thamel-room",
		Prompt:    identifier.Tokens(rapid.IntRange(10, 60_000).Draw(t, "prompt")),
		MaxOutput: identifier.Tokens(rapid.IntRange(1, 4000).Draw(t, "output")),
		Prefix:    []identifier.Block{identifier.Block(rapid.IntRange(1, 5).Draw(t, "block"))},
		Arrived:   m.now,
	})
}

func (m *machine) burst(t *rapid.T) {
	for range rapid.IntRange(5, 30).Draw(t, "burst") {
		m.ask(t)
	}
}

// progress advances one placed attempt by one stage.
func (m *machine) progress(t *rapid.T) {
	var placed []*attempt
	for _, x := range m.attempts {
		if x.stage != waiting && x.stage != parked {
			placed = append(placed, x)
		}
	}
	if len(placed) == 0 {
		t.Skip("nothing is placed")
	}
	m.advanceStage(t, rapid.SampledFrom(placed).Draw(t, "try"))
}

func (m *machine) advanceStage(t *rapid.T, x *attempt) {
	x.since = m.now
	switch x.stage {
	case prefilling:
		x.stage = transferring
		if x.decode == "" {
			x.stage = parked
		}
		m.step(admitter.PrefillEnded{Key: x.key, Took: 30 * time.Millisecond})
	case transferring:
		full := x.promised && m.reserved(x.decode)+x.pieces > machinePieces
		if full || rapid.IntRange(0, 9).Draw(t, "stall") == 0 {
			x.stage, x.decode = parked, ""
			m.step(admitter.TransferFailed{Key: x.key, Full: full})
			return
		}
		x.stage, x.promised = decoding, false
		if rapid.Bool().Draw(t, "told") {
			m.step(admitter.TransferEnded{Key: x.key, Took: 20 * time.Millisecond})
		}
		m.step(admitter.FirstToken{Key: x.key})
	case decoding:
		m.drop(x.key)
		m.step(admitter.Ended{Key: x.key, Output: 50, Failed: rapid.IntRange(0, 9).Draw(t, "failed") == 0})
	}
}

func (m *machine) withdraw(t *rapid.T) {
	if len(m.attempts) == 0 {
		t.Skip("nothing to withdraw")
	}
	x := rapid.SampledFrom(m.attempts).Draw(t, "try")
	m.drop(x.key)
	m.step(admitter.Withdraw{Key: x.key})
}

func (m *machine) advance(t *rapid.T) {
	m.passTime(t, time.Duration(rapid.IntRange(1, 300).Draw(t, "ms"))*time.Millisecond)
}

// passTime advances the clock. Attempts in prefill or transfer without a report
// for maxReportGap are advanced by one stage.
func (m *machine) passTime(t *rapid.T, d time.Duration) {
	m.now = m.now.Add(d)
	for _, x := range slices.Clone(m.attempts) {
		early := x.stage == prefilling || x.stage == transferring
		if early && m.now.Sub(x.since) > maxReportGap && slices.Contains(m.attempts, x) {
			m.advanceStage(t, x)
		}
	}
	m.step(admitter.Wake{})
}

func (m *machine) changeState(t *rapid.T) {
	id := rapid.SampledFrom(slices.Concat(machinePrefills, machineDecodes)).Draw(t, "upstream")
	state := rapid.SampledFrom([]admitter.UpstreamState{
		admitter.UpstreamUp, admitter.UpstreamUp, admitter.UpstreamLeaving, admitter.UpstreamDown,
	}).Draw(t, "state")
	if state == admitter.UpstreamDown {
		m.breakTransfers(id)
	}
	m.setState(id, state)
}

// breakTransfers removes a dead decode engine from the attempts that were to
// use it, as their entry VM does when the connection breaks.
func (m *machine) breakTransfers(id identifier.Upstream) {
	for _, x := range m.attempts {
		if x.decode == id && x.stage == transferring {
			x.stage, x.decode = parked, ""
		}
		if x.decode == id && x.stage == prefilling {
			x.decode, x.promised = "", true
		}
	}
}

// drain finishes all attempts and checks that no resources are left reserved.
func (m *machine) drain(t *rapid.T) {
	for _, id := range slices.Concat(machinePrefills, machineDecodes) {
		m.setState(id, admitter.UpstreamUp)
	}
	for i := 0; len(m.attempts) > 0; i++ {
		if i > 10_000 {
			t.Fatalf("%d requests never ended, the first is %+v", len(m.attempts), *m.attempts[0])
		}
		if x := m.attempts[i%len(m.attempts)]; x.stage != waiting && x.stage != parked {
			m.advanceStage(t, x)
		}
		m.passTime(t, 20*time.Millisecond)
	}
	if e := m.Estimates(); e.Queue != 0 || e.Grants != 0 {
		t.Fatalf("%d requests and %d grants remain after all attempts have ended", e.Queue, e.Grants)
	}
	m.now = m.now.Add(time.Minute)
	for range machineDecodes {
		m.lastNumber++
		k := key(fmt.Sprintf("whole-%d", m.lastNumber))
		m.attempts = append(m.attempts, &attempt{key: k})
		m.step(admitter.Ask{
			Key: k, Class: "Reading", From: "vm-1", FromDataCentre: "thamel-room",
			Prompt: identifier.PieceTokens*(machinePieces-1) - 1, MaxOutput: 1, Arrived: m.now,
		})
		for i := 0; i < 100 && m.find(k).stage == waiting; i++ {
			m.now = m.now.Add(20 * time.Millisecond)
			m.step(admitter.Wake{})
		}
		if x := m.find(k); x.stage != prefilling || x.promised {
			t.Fatalf("a request for an empty engine was not placed on free memory: %+v", *x)
		}
		m.step(admitter.PrefillEnded{Key: k})
	}
}

// isDeterministic reports whether the same events give the same outcomes in a
// new core.
func (m *machine) isDeterministic(t *rapid.T, prefer admitter.Prefer) bool {
	t.Helper()
	again := admitter.New(machineSettings(prefer), rand.New(rand.NewPCG(1, 2)))
	var outcomes []string
	for _, e := range m.events {
		for _, o := range again.Step(e.at, e.event) {
			outcomes = append(outcomes, fmt.Sprintf("%T %+v", o, o))
		}
	}
	return slices.Equal(outcomes, m.outcomes)
}

func TestCoreInvariants(t *testing.T) {
	steps := 0
	for name, value := range map[string]string{"rapid.checks": machineChecks, "rapid.steps": machineSteps, "rapid.seed": "4"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"Ask":      m.ask,
			"Burst":    m.burst,
			"Progress": m.progress,
			"Further":  m.progress,
			"Withdraw": m.withdraw,
			"Advance":  m.advance,
			"Change":   m.changeState,
		})
		steps += len(m.events)
		m.drain(t)
		if !m.isDeterministic(t, admitter.PreferGoodput) && !m.isDeterministic(t, admitter.PreferWastedPrefill) {
			t.Fatalf("the same events gave different outcomes in a new core")
		}
	})
	if steps < 10_000 {
		t.Fatalf("the test ran only %d steps, expected at least 10000", steps)
	}
}
