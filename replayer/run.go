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
	// settleTime is how long after the last line of a trace a replay ends at
	// the latest.
	settleTime = 2 * time.Minute
	// probeTime is how long a policy takes to hear that an upstream died or
	// came back.
	probeTime = 500 * time.Millisecond
	// resendAfter is the time after which a lost message is sent again, in
	// one-way delays.
	resendAfter = 3
)

// run is one replay.
type run struct {
	timeline
	trace   *tracer.Trace
	seed    uint64
	vms     map[identifier.VM]*vm
	nodes   []*node
	engines []*engine
	byID    map[identifier.Upstream]*engine
	// attempts holds the attempts that are not over.
	attempts map[identifier.Hold]*attempt
	callers  map[identifier.Request]*caller
	// rng makes the times of messages vary. paths holds the arrival of the
	// last message on each path.
	rng   *rand.Rand
	paths map[path]time.Time
	// open counts the callers that still wait.
	open int
	book *book
}

// vm is one entry VM.
type vm struct {
	tracer.VM
	node *node
	// messages and bytes count what it sends and gets for control.
	messages, bytes int64
}

// node is a policy on its VM.
type node struct {
	*run
	vm     *vm
	policy Policy
	wake   alarm
}

// Run replays a trace under a policy.
func Run(trace *tracer.Trace, maker Maker, seed uint64) Result {
	r := &run{
		trace:    trace,
		seed:     seed,
		vms:      make(map[identifier.VM]*vm),
		byID:     make(map[identifier.Upstream]*engine),
		attempts: make(map[identifier.Hold]*attempt),
		callers:  make(map[identifier.Request]*caller),
		open:     len(trace.Arrivals),
		book:     newBook(trace.Header),
		rng:      rand.New(rand.NewPCG(seed, 4)),
		paths:    make(map[path]time.Time),
	}
	r.now = trace.Header.Time
	r.addEngines()
	r.addNodes(maker)
	r.addTrace()
	r.reportLoad()
	r.run(r.end())
	return r.result(maker.Name)
}

func (r *run) end() time.Time {
	last := r.trace.Header.Time
	if n := len(r.trace.Arrivals); n > 0 {
		last = r.trace.Arrivals[n-1].Time
	}
	return last.Add(settleTime)
}

func (r *run) addEngines() {
	for i, u := range r.trace.Header.Upstreams {
		e := &engine{run: r, Upstream: u, rng: rand.New(rand.NewPCG(r.seed, uint64(i)))}
		e.Engine = faker.NewEngine(u.EngineSettings, e.rng)
		r.engines = append(r.engines, e)
		r.byID[u.ID] = e
	}
}

func (r *run) addNodes(maker Maker) {
	header := r.trace.Header
	owner := ownerOf(header)
	policy := maker.begin(header)
	for i, v := range header.VMs {
		r.vms[v.ID] = &vm{VM: v}
		if maker.PerVM || v.ID == owner {
			n := &node{run: r, vm: r.vms[v.ID], policy: policy(r.seed + uint64(i))}
			r.nodes = append(r.nodes, n)
		}
	}
	for _, n := range r.nodes {
		n.vm.node = n
		for _, class := range header.Classes {
			n.tell(admitter.ClassChanged{Class: class})
		}
		for _, e := range r.engines {
			n.tell(e.state(admitter.UpstreamUp))
		}
	}
	for _, v := range r.vms {
		if v.node == nil {
			v.node = r.nodes[0]
		}
	}
}

// ownerOf returns the first VM in the data centre with most runners.
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

func (r *run) addTrace() {
	for _, a := range r.trace.Arrivals {
		c := &caller{run: r, Arrival: a, vm: r.vms[a.VM], blocks: a.Blocks()}
		r.callers[a.Request] = c
		r.at(a.Time, c.arrive)
	}
	for _, cancel := range r.trace.Cancels {
		r.at(cancel.Time, r.callers[cancel.Request].cancel)
	}
	for _, f := range r.trace.Faults {
		r.at(f.Time, func() { r.byID[f.Upstream].fault(f) })
	}
}

// reportLoad sends every engine's lagging load to the policies, again and
// again while callers wait.
func (r *run) reportLoad() {
	if r.open == 0 {
		return
	}
	for _, e := range r.engines {
		if e.dead {
			continue
		}
		load := e.Load(r.now)
		e.tellNodes(admitter.LoadReport{
			Upstream: e.ID, At: load.At, Running: load.Running,
			Queued: load.Queued, FreePieces: load.FreePieces,
		})
	}
	r.after(r.trace.Header.LoadEvery, r.reportLoad)
}

// carry does something at the other end of a path. Messages on the path
// between two data centres take varying times, some are sent again after a
// loss, and none passes an earlier one.
func (r *run) carry(from, to identifier.DataCentre, do func()) {
	arrives := r.now.Add(r.delay(from, to))
	header := r.trace.Header
	if from == to || header.DelaySpread == 0 && header.Loss == 0 {
		r.at(arrives, do)
		return
	}
	spread := float64(header.DelayBetween) * header.DelaySpread
	arrives = arrives.Add(time.Duration(r.rng.Float64() * spread))
	if r.rng.Float64() < header.Loss {
		arrives = arrives.Add(resendAfter * header.DelayBetween)
	}
	path := path{from, to}
	if last := r.paths[path]; arrives.Before(last) {
		arrives = last
	}
	r.paths[path] = arrives
	r.at(arrives, do)
}

// path leads from one data centre to another.
type path struct{ from, to identifier.DataCentre }

// delay returns the least one-way time of a message.
func (r *run) delay(from, to identifier.DataCentre) time.Duration {
	if from == to {
		return r.trace.Header.DelayInside
	}
	return r.trace.Header.DelayBetween
}

// tell lets the policy act on an event and sends off what it decides.
func (n *node) tell(event admitter.Event) {
	for _, outcome := range n.policy.Step(n.now, event) {
		n.send(outcome)
	}
}

func (n *node) send(outcome admitter.Outcome) {
	switch outcome := outcome.(type) {
	case admitter.WakeAt:
		n.set(&n.wake, outcome.At, func() { n.tell(admitter.Wake{}) })
	case admitter.Place:
		n.toEntry(outcome.To, outcome.Key, outcome, func(a *attempt) { a.place(outcome) })
	case admitter.Move:
		n.toEntry(outcome.To, outcome.Key, outcome, func(a *attempt) { a.move(outcome) })
	case admitter.Refuse:
		n.toEntry(outcome.To, outcome.Key, outcome, func(a *attempt) { a.refuse(outcome) })
	case admitter.Abandon:
		n.toEntry(outcome.To, outcome.Key, outcome, func(a *attempt) { a.abandon() })
	}
}

// toEntry runs do at the entry VM if the attempt is not over by then.
func (n *node) toEntry(to identifier.VM, key admitter.Key, outcome admitter.Outcome, do func(*attempt)) {
	entry := n.vms[to]
	size := func() int64 { return sizeOfOutcome(outcome) }
	n.message(n.vm, entry, size, func() {
		if a, ok := n.attempts[holdOf(to, key)]; ok {
			do(a)
		}
	})
}

// message carries a message between VMs. On one VM it costs nothing.
func (r *run) message(from, to *vm, size func() int64, do func()) {
	if from == to {
		r.at(r.now, do)
		return
	}
	bytes := size()
	from.count(bytes)
	to.count(bytes)
	r.carry(from.DataCentre, to.DataCentre, do)
}

func (v *vm) count(size int64) {
	v.messages++
	v.bytes += size
}

func holdOf(v identifier.VM, key admitter.Key) identifier.Hold {
	return identifier.Hold{VM: v, Incarnation: 1, Request: key.Request, Attempt: key.Attempt}
}
