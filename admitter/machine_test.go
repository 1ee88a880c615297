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

// The state machine runs machineChecks times about machineSteps steps.
const (
	machineChecks = "120"
	machineSteps  = "120"
	machineQueue  = 24
	// longestSilence is the most time that a model attempt before its decode
	// goes without a report.
	longestSilence = 2 * time.Second
)

// stage is how far a model attempt has come.
type stage int

const (
	waiting stage = iota
	prefilling
	transferring
	parked
	decoding
)

// try is one attempt as its entry VM and the engines see it.
type try struct {
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
	t      *rapid.T
	tries  []*try
	next   int
	states map[identifier.Upstream]admitter.UpstreamState
	// events and outcomes are the whole history.
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
	m.do(admitter.ClassChanged{Class: admitter.Class{Name: "Quick", FirstToken: 400 * time.Millisecond, PerToken: 45 * time.Millisecond}})
	m.do(admitter.ClassChanged{Class: admitter.Class{
		Name: "Reading", FirstToken: 2 * time.Second, PerToken: 60 * time.Millisecond, Patience: 10 * time.Second,
	}})
	for _, id := range slices.Concat(machinePrefills, machineDecodes) {
		m.setState(id, admitter.UpstreamUp)
	}
	return m
}

func (m *machine) do(e admitter.Event) {
	m.events = append(m.events, timedEvent{m.now, e})
	for _, o := range m.Step(m.now, e) {
		m.outcomes = append(m.outcomes, fmt.Sprintf("%T %+v", o, o))
		m.take(o)
	}
	if n := m.Estimates().Queue; n > machineQueue {
		m.t.Fatalf("queue holds %d requests", n)
	}
}

func (m *machine) take(o admitter.Outcome) {
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

func (m *machine) find(k admitter.Key) *try {
	for _, x := range m.tries {
		if x.key == k {
			return x
		}
	}
	m.t.Fatalf("outcome for %v, which is over", k)
	return nil
}

// answer counts the one answer of an Ask.
func (m *machine) answer(k admitter.Key) *try {
	x := m.find(k)
	x.answers++
	if x.answers != 1 {
		m.t.Fatalf("%v was answered %d times", k, x.answers)
	}
	return x
}

func (m *machine) drop(k admitter.Key) {
	m.tries = slices.DeleteFunc(m.tries, func(x *try) bool { return x.key == k })
}

func (m *machine) mustBeUp(id identifier.Upstream) {
	if m.states[id] != admitter.UpstreamUp {
		m.t.Fatalf("placement on %s, which is %s", id, m.states[id])
	}
}

// used is the memory of an engine that is held for attempts by right, that
// is without promises.
func (m *machine) used(id identifier.Upstream) identifier.Pieces {
	var n identifier.Pieces
	for _, x := range m.tries {
		if x.decode == id && x.stage != waiting && x.stage != parked && !x.promised {
			n += x.pieces
		}
	}
	return n
}

func (m *machine) mustFit(id identifier.Upstream) {
	if n := m.used(id); n > machinePieces {
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
	m.do(admitter.UpstreamChanged{Upstream: u})
}

func (m *machine) ask(t *rapid.T) {
	m.next++
	k := key(fmt.Sprintf("request-%d", m.next))
	k.Attempt = rapid.SampledFrom([]identifier.Attempt{1, 1, 1, 2}).Draw(t, "attempt")
	m.tries = append(m.tries, &try{key: k, since: m.now})
	m.do(admitter.Ask{
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

// progress takes one placed attempt one stage further.
func (m *machine) progress(t *rapid.T) {
	var placed []*try
	for _, x := range m.tries {
		if x.stage != waiting && x.stage != parked {
			placed = append(placed, x)
		}
	}
	if len(placed) == 0 {
		t.Skip("nothing is placed")
	}
	m.further(t, rapid.SampledFrom(placed).Draw(t, "try"))
}

func (m *machine) further(t *rapid.T, x *try) {
	x.since = m.now
	switch x.stage {
	case prefilling:
		x.stage = transferring
		if x.decode == "" {
			x.stage = parked
		}
		m.do(admitter.PrefillEnded{Key: x.key, Took: 30 * time.Millisecond})
	case transferring:
		full := x.promised && m.used(x.decode)+x.pieces > machinePieces
		if full || rapid.IntRange(0, 9).Draw(t, "stall") == 0 {
			x.stage, x.decode = parked, ""
			m.do(admitter.TransferFailed{Key: x.key, Full: full})
			return
		}
		x.stage, x.promised = decoding, false
		if rapid.Bool().Draw(t, "told") {
			m.do(admitter.TransferEnded{Key: x.key, Took: 20 * time.Millisecond})
		}
		m.do(admitter.FirstToken{Key: x.key})
	case decoding:
		m.drop(x.key)
		m.do(admitter.Ended{Key: x.key, Output: 50, Failed: rapid.IntRange(0, 9).Draw(t, "failed") == 0})
	}
}

func (m *machine) withdraw(t *rapid.T) {
	if len(m.tries) == 0 {
		t.Skip("nothing to withdraw")
	}
	x := rapid.SampledFrom(m.tries).Draw(t, "try")
	m.drop(x.key)
	m.do(admitter.Withdraw{Key: x.key})
}

func (m *machine) advance(t *rapid.T) {
	m.pass(t, time.Duration(rapid.IntRange(1, 300).Draw(t, "ms"))*time.Millisecond)
}

// pass lets time go by; attempts before their decode are reported on.
func (m *machine) pass(t *rapid.T, d time.Duration) {
	m.now = m.now.Add(d)
	for _, x := range slices.Clone(m.tries) {
		early := x.stage == prefilling || x.stage == transferring
		if early && m.now.Sub(x.since) > longestSilence && slices.Contains(m.tries, x) {
			m.further(t, x)
		}
	}
	m.do(admitter.Wake{})
}

func (m *machine) change(t *rapid.T) {
	id := rapid.SampledFrom(slices.Concat(machinePrefills, machineDecodes)).Draw(t, "upstream")
	state := rapid.SampledFrom([]admitter.UpstreamState{
		admitter.UpstreamUp, admitter.UpstreamUp, admitter.UpstreamLeaving, admitter.UpstreamDown,
	}).Draw(t, "state")
	if state == admitter.UpstreamDown {
		m.breakTransfers(id)
	}
	m.setState(id, state)
}

// breakTransfers takes a dead decode engine from the attempts that were to
// move to it, as their entry VM does when the connection breaks.
func (m *machine) breakTransfers(id identifier.Upstream) {
	for _, x := range m.tries {
		if x.decode == id && x.stage == transferring {
			x.stage, x.decode = parked, ""
		}
		if x.decode == id && x.stage == prefilling {
			x.decode, x.promised = "", true
		}
	}
}

// drain ends everything and checks that nothing stays held.
func (m *machine) drain(t *rapid.T) {
	for _, id := range slices.Concat(machinePrefills, machineDecodes) {
		m.setState(id, admitter.UpstreamUp)
	}
	for i := 0; len(m.tries) > 0; i++ {
		if i > 10_000 {
			t.Fatalf("%d requests are never settled, first %+v", len(m.tries), *m.tries[0])
		}
		if x := m.tries[i%len(m.tries)]; x.stage != waiting && x.stage != parked {
			m.further(t, x)
		}
		m.pass(t, 20*time.Millisecond)
	}
	if e := m.Estimates(); e.Queue != 0 || e.Grants != 0 {
		t.Fatalf("%d requests and %d grants are left", e.Queue, e.Grants)
	}
	m.now = m.now.Add(time.Minute)
	for range machineDecodes {
		m.next++
		k := key(fmt.Sprintf("whole-%d", m.next))
		m.tries = append(m.tries, &try{key: k})
		m.do(admitter.Ask{
			Key: k, Class: "Reading", From: "vm-1", FromDataCentre: "thamel-room",
			Prompt: identifier.PieceTokens*(machinePieces-1) - 1, MaxOutput: 1, Arrived: m.now,
		})
		for i := 0; i < 100 && m.find(k).stage == waiting; i++ {
			m.now = m.now.Add(20 * time.Millisecond)
			m.do(admitter.Wake{})
		}
		if x := m.find(k); x.stage != prefilling || x.promised {
			t.Fatalf("an empty engine isn't free: %+v", *x)
		}
		m.do(admitter.PrefillEnded{Key: k})
	}
}

// repeats checks that the same events give the same outcomes.
func (m *machine) repeats(t *rapid.T, prefer admitter.Prefer) bool {
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

func TestCoreKeepsItsPromises(t *testing.T) {
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
			"Change":   m.change,
		})
		steps += len(m.events)
		m.drain(t)
		if !m.repeats(t, admitter.PreferGoodput) && !m.repeats(t, admitter.PreferWastedPrefill) {
			t.Fatalf("the same events gave other outcomes")
		}
	})
	if steps < 10_000 {
		t.Fatalf("only %d steps were taken", steps)
	}
}
