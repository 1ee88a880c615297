package reclaimer

import (
	"maps"
	"slices"
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// stage is how far a hold is on its way to be released.
type stage int

const (
	// stageVouched waits until it is time to ask; a new hold starts here.
	stageVouched stage = iota
	// stageAsked waits for the answer of one VM.
	stageAsked
	// stageContested waits for any VM to vouch, for Grace.
	stageContested
	// stageFinal waits for all VMs to disown.
	stageFinal
)

// hold is what the core knows of one hold.
type hold struct {
	id    identifier.Hold
	stage stage
	// ask is the VM that vouched last, at first the one that began the hold.
	ask identifier.VM
	// vouched is when a VM last vouched; zero if none has.
	vouched time.Time
	// askedAt is when the present questions were asked; first is the number
	// of the first of them. Only their answers can disown the hold.
	askedAt time.Time
	first   uint64
	// since is when the hold was contested.
	since time.Time
	// waiting are the VMs that have not disowned the hold in stageFinal.
	waiting []identifier.VM
	// read is what the engine says, readAt when that last changed here.
	read, readAt time.Time
	released     time.Time
}

func (c *Core) askOne(now time.Time, h *hold, asks *asks) {
	h.stage, h.askedAt, h.first = stageAsked, now, c.rounds+1
	asks.add(h, h.ask)
}

// contest looks for a VM that has taken the hold over.
func (c *Core) contest(now time.Time, h *hold, asks *asks) {
	h.stage, h.since = stageContested, now
	asks.add(h, c.everyone(h)...)
}

// askAll asks every VM that could have the hold.
func (c *Core) askAll(now time.Time, h *hold, asks *asks) {
	h.stage, h.askedAt, h.first = stageFinal, now, c.rounds+1
	h.waiting = c.everyone(h)
	asks.add(h, h.waiting...)
}

// everyone returns the live VMs, the one that vouched last and the one that
// began the hold, unless that was started again and has gone since.
func (c *Core) everyone(h *hold) []identifier.VM {
	vms := slices.Clone(c.live)
	if !slices.Contains(vms, h.ask) && h.ask != h.id.VM {
		vms = append(vms, h.ask)
	}
	if !slices.Contains(vms, h.id.VM) && c.incarnations[h.id.VM] <= h.id.Incarnation {
		vms = append(vms, h.id.VM)
	}
	return vms
}

// changed takes over the live VMs.
func (c *Core) changed(live []identifier.VM) {
	c.live = slices.Clone(live)
	if len(c.incarnations) > MaxVMs {
		maps.DeleteFunc(c.incarnations, func(vm identifier.VM, _ identifier.Incarnation) bool {
			return !slices.Contains(live, vm)
		})
	}
}

func (c *Core) vouch(now time.Time, h *hold, vm identifier.VM) {
	h.stage, h.ask, h.vouched = stageVouched, vm, now
	h.waiting, h.released = nil, time.Time{}
}

// disown handles that a VM doesn't have a hold in use.
func (c *Core) disown(now time.Time, h *hold, q question, asks *asks) {
	if q.round < h.first {
		return
	}
	switch h.stage {
	case stageAsked:
		c.contest(now, h, asks)
	case stageFinal:
		h.waiting = slices.DeleteFunc(h.waiting, func(vm identifier.VM) bool { return vm == q.to })
	}
}

// answered handles the answer to a question that has not been answered.
func (c *Core) answered(now time.Time, a Answered) {
	vm := a.From.VM
	c.incarnations[vm] = max(c.incarnations[vm], a.From.Incarnation)
	i := slices.IndexFunc(c.questions, func(q question) bool { return q.to == vm && q.round == a.Round })
	if i < 0 {
		return
	}
	q := c.questions[i]
	c.questions = slices.Delete(c.questions, i, i+1)
	vouched := make(map[identifier.Hold]bool, len(a.Vouched))
	for _, id := range a.Vouched {
		vouched[id] = true
	}
	asks := newAsks()
	for _, h := range q.holds {
		if vouched[h.id] {
			c.vouch(now, h, vm)
		} else {
			c.disown(now, h, q, asks)
		}
	}
	c.ask(now, asks)
}

// asks gathers the holds to ask each VM about, in a stable order.
type asks struct {
	vms   []identifier.VM
	holds map[identifier.VM][]*hold
}

func newAsks() *asks { return &asks{holds: map[identifier.VM][]*hold{}} }

func (a *asks) add(h *hold, vms ...identifier.VM) {
	for _, vm := range vms {
		if _, ok := a.holds[vm]; !ok {
			a.vms = append(a.vms, vm)
		}
		a.holds[vm] = append(a.holds[vm], h)
	}
}

// ask sends the gathered questions.
func (c *Core) ask(now time.Time, a *asks) {
	for _, vm := range a.vms {
		for holds := range slices.Chunk(a.holds[vm], MaxAsked) {
			c.question(now, vm, holds)
		}
	}
}

func (c *Core) question(now time.Time, vm identifier.VM, holds []*hold) {
	if len(c.questions) >= MaxQuestions {
		return
	}
	c.rounds++
	c.questions = append(c.questions, question{to: vm, round: c.rounds, at: now, holds: holds})
	ids := make([]identifier.Hold, len(holds))
	for i, h := range holds {
		ids[i] = h.id
	}
	c.emit(Ask{To: vm, Round: c.rounds, Holds: ids})
}

// questionLife is how long a late answer still counts.
const questionLife = 2 * AskEvery

func (c *Core) forgetQuestions(now time.Time) {
	c.questions = slices.DeleteFunc(c.questions, func(q question) bool { return now.Sub(q.at) >= questionLife })
}
