package replayer

import (
	"math/rand/v2"
	"time"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/faker"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/tracer"
)

const (
	// settleTimeout is how long a replay goes on at most after the last arrival
	// of its trace.
	settleTimeout = 2 * time.Minute
	// probeDelay is the time until policies learn that an upstream died or came
	// back.
	probeDelay = 500 * time.Millisecond
	// resendAfterDelays is the time after which a lost message is sent again,
	// as a multiple of the one-way delay.
	resendAfterDelays = 3
)

// replay is the state of one replay.
type replay struct {
	timeline
	trace   *tracer.Trace
	seed    uint64
	vms     map[identifier.VM]*vm
	nodes   []*node
	engines []*engine
	byID    map[identifier.Upstream]*engine
	// attempts holds the attempts that have not ended.
	attempts map[identifier.Hold]*attempt
	callers  map[identifier.Request]*caller
	// rng draws the delays and losses of messages. paths holds the arrival time
	// of the last message on each path.
	rng   *rand.Rand
	paths map[path]time.Time
	// openCallers counts the callers whose requests have not ended.
	openCallers int
	collector   *collector
}

// vm is an entry VM. Its node decides on its requests, and may run on another
// VM.
type vm struct {
	tracer.VM
	node *node
	// messages and bytes count the control messages that the VM sends and
	// receives.
	messages, bytes int64
}

// node runs a policy on a VM.
type node struct {
	*replay
	vm     *vm
	policy Policy
	wake   alarm
}

// Run replays a trace under a policy and returns its measures.
func Run(trace *tracer.Trace, maker PolicyFactory, seed uint64) Result {
	r := &replay{
		trace:       trace,
		seed:        seed,
		vms:         make(map[identifier.VM]*vm),
		byID:        make(map[identifier.Upstream]*engine),
		attempts:    make(map[identifier.Hold]*attempt),
		callers:     make(map[identifier.Request]*caller),
		openCallers: len(trace.Arrivals),
		collector:   newCollector(trace.Header),
		rng:         rand.New(rand.NewPCG(seed, 4)),
		paths:       make(map[path]time.Time),
	}
	r.now = trace.Header.Time
	r.addEngines()
	r.addNodes(maker)
	r.scheduleTrace()
	r.sendLoadReports()
	r.runUntil(r.endTime())
	return r.result(maker.Name)
}

func (r *replay) endTime() time.Time {
	last := r.trace.Header.Time
	if n := len(r.trace.Arrivals); n > 0 {
		last = r.trace.Arrivals[n-1].Time
	}
	return last.Add(settleTimeout)
}

func (r *replay) addEngines() {
	for i, u := range r.trace.Header.Upstreams {
		e := &engine{replay: r, Upstream: u, rng: rand.New(rand.NewPCG(r.seed, uint64(i)))}
		e.Engine = faker.NewEngine(u.EngineSettings, e.rng)
		r.engines = append(r.engines, e)
		r.byID[u.ID] = e
	}
}

func (r *replay) addNodes(maker PolicyFactory) {
	header := r.trace.Header
	owner := ownerOf(header)
	policy := maker.policyFunc(header)
	for i, v := range header.VMs {
		r.vms[v.ID] = &vm{VM: v}
		if maker.PerVM || v.ID == owner {
			n := &node{replay: r, vm: r.vms[v.ID], policy: policy(r.seed + uint64(i))}
			r.nodes = append(r.nodes, n)
		}
	}
	for _, n := range r.nodes {
		n.vm.node = n
		for _, class := range header.Classes {
			n.handleEvent(admitter.ClassChanged{Class: class})
		}
		for _, e := range r.engines {
			n.handleEvent(e.stateEvent(admitter.UpstreamUp))
		}
	}
	for _, v := range r.vms {
		if v.node == nil {
			v.node = r.nodes[0]
		}
	}
}

// ownerOf returns the first VM in the data centre that has the most runners.
func ownerOf(header tracer.Header) identifier.VM {
	runners := map[identifier.DataCentre]int{}
	for _, u := range header.Upstreams {
		runners[u.DataCentre]++
	}
	owner := header.VMs[0]
	for _, v := range header.VMs {
		if runners[v.DataCentre] > runners[owner.DataCentre] {
			owner = v
		}
	}
	return owner.ID
}

func (r *replay) scheduleTrace() {
	for _, a := range r.trace.Arrivals {
		c := &caller{replay: r, Arrival: a, vm: r.vms[a.VM], prefixBlocks: a.Blocks()}
		r.callers[a.Request] = c
		r.schedule(a.Time, c.startTry)
	}
	for _, cancel := range r.trace.Cancels {
		r.schedule(cancel.Time, r.callers[cancel.Request].cancel)
	}
	for _, f := range r.trace.Faults {
		r.schedule(f.Time, func() { r.byID[f.Upstream].applyFault(f) })
	}
}

// sendLoadReports sends the load of every engine to the policies, and repeats
// this every LoadEvery while callers wait.
func (r *replay) sendLoadReports() {
	if r.openCallers == 0 {
		return
	}
	for _, e := range r.engines {
		if e.dead {
			continue
		}
		load := e.Load(r.now)
		e.sendToPolicies(admitter.LoadReport{
			Upstream: e.ID, At: load.At, Running: load.Running,
			Queued: load.Queued, FreePieces: load.FreePieces,
		})
	}
	r.scheduleAfter(r.trace.Header.LoadEvery, r.sendLoadReports)
}

// deliver runs do when a message sent now arrives. Between two data centres,
// messages have a random delay, some are lost and sent again, and none
// overtakes an earlier one on the same path.
func (r *replay) deliver(from, to identifier.DataCentre, do func()) {
	arrives := r.now.Add(r.minDelay(from, to))
	header := r.trace.Header
	if from == to || header.DelaySpread == 0 && header.Loss == 0 {
		r.schedule(arrives, do)
		return
	}
	spread := float64(header.DelayBetween) * header.DelaySpread
	arrives = arrives.Add(time.Duration(r.rng.Float64() * spread))
	if r.rng.Float64() < header.Loss {
		arrives = arrives.Add(resendAfterDelays * header.DelayBetween)
	}
	path := path{from, to}
	if last := r.paths[path]; arrives.Before(last) {
		arrives = last
	}
	r.paths[path] = arrives
	r.schedule(arrives, do)
}

// path is the direction from one data centre to another.
type path struct{ from, to identifier.DataCentre }

// minDelay returns the shortest one-way delay of a message.
func (r *replay) minDelay(from, to identifier.DataCentre) time.Duration {
	if from == to {
		return r.trace.Header.DelayInside
	}
	return r.trace.Header.DelayBetween
}

// handleEvent steps the policy and sends its outcomes.
func (n *node) handleEvent(event admitter.Event) {
	for _, outcome := range n.policy.Step(n.now, event) {
		n.sendOutcome(outcome)
	}
}

func (n *node) sendOutcome(outcome admitter.Outcome) {
	switch outcome := outcome.(type) {
	case admitter.WakeAt:
		n.setAlarm(&n.wake, outcome.At, func() { n.handleEvent(admitter.Wake{}) })
	case admitter.Place:
		n.runAtEntry(outcome.To, outcome.Key, outcome, func(a *attempt) { a.place(outcome) })
	case admitter.Move:
		n.runAtEntry(outcome.To, outcome.Key, outcome, func(a *attempt) { a.move(outcome) })
	case admitter.Refuse:
		n.runAtEntry(outcome.To, outcome.Key, outcome, func(a *attempt) { a.refuse(outcome) })
	case admitter.Abandon:
		n.runAtEntry(outcome.To, outcome.Key, outcome, func(a *attempt) { a.abandon() })
	}
}

// runAtEntry sends a message to the entry VM and runs do on its arrival, unless
// the attempt has ended by then.
func (n *node) runAtEntry(to identifier.VM, key admitter.Key, outcome admitter.Outcome, do func(*attempt)) {
	entry := n.vms[to]
	size := func() int64 { return sizeOfOutcome(outcome) }
	n.sendMessage(n.vm, entry, size, func() {
		if a, ok := n.attempts[holdOf(to, key)]; ok {
			do(a)
		}
	})
}

// sendMessage counts a message between two VMs and runs do on its arrival. If
// both are the same VM, do runs without delay and nothing is counted.
func (r *replay) sendMessage(from, to *vm, size func() int64, do func()) {
	if from == to {
		r.schedule(r.now, do)
		return
	}
	bytes := size()
	from.countMessage(bytes)
	to.countMessage(bytes)
	r.deliver(from.DataCentre, to.DataCentre, do)
}

func (v *vm) countMessage(size int64) {
	v.messages++
	v.bytes += size
}

func holdOf(v identifier.VM, key admitter.Key) identifier.Hold {
	return identifier.Hold{VM: v, Incarnation: 1, Request: key.Request, Attempt: key.Attempt}
}
