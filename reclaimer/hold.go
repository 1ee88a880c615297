package reclaimer

import (
	"maps"
	"slices"
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// stage is the step of a hold on the way to its release.
type stage int

const (
	// stageVouched lasts until the next question is due. New holds begin here.
	stageVouched stage = iota
	// stageAsked waits for the answer of the VM that probably uses the hold.
	stageAsked
	// stageContested waits for Grace, in which any VM may vouch.
	stageContested
	// stageFinal waits until all VMs have disowned the hold.
	stageFinal
)

// hold is the state of one hold that an engine listed.
type hold struct {
	id    identifier.Hold
	stage stage
	// likelyVM is the VM that vouched last, or else the one that began the hold.
	likelyVM identifier.VM
	// vouchedAt is when a VM last vouched; zero if none has.
	vouchedAt time.Time
	// askedAt is when the latest questions of stageAsked or stageFinal were sent;
	// firstRound is the round of the first of them. Answers to earlier rounds can't
	// disown the hold.
	askedAt    time.Time
	firstRound uint64
	// contestedAt is when the hold entered stageContested.
	contestedAt time.Time
	// waiting are the VMs that have not disowned the hold in stageFinal.
	waiting []identifier.VM
	// lastRead is when the stream was last read, by the engine's clock;
	// readChangedAt is when that last changed, by this VM's clock.
	lastRead, readChangedAt time.Time
	// releasedAt is when the last Release was emitted; zero if there was none
	// since a VM last vouched.
	releasedAt time.Time
}

// askOne asks the VM that probably uses the hold.
func (c *Core) askOne(now time.Time, h *hold, asks *questionBatch) {
	h.stage, h.askedAt, h.firstRound = stageAsked, now, c.rounds+1
	asks.add(h, h.likelyVM)
}

// contest asks all VMs whether one of them has taken the hold over.
func (c *Core) contest(now time.Time, h *hold, asks *questionBatch) {
	h.stage, h.contestedAt = stageContested, now
	asks.add(h, c.possibleVMs(h)...)
}

// askAll asks every VM that may use the hold and waits for all of them.
func (c *Core) askAll(now time.Time, h *hold, asks *questionBatch) {
	h.stage, h.askedAt, h.firstRound = stageFinal, now, c.rounds+1
	h.waiting = c.possibleVMs(h)
	asks.add(h, h.waiting...)
}

// possibleVMs returns the VMs that may use a hold: the live ones, the one that
// vouched last, and the one that began it. The last one is left out if it was
// started again since and isn't live.
func (c *Core) possibleVMs(h *hold) []identifier.VM {
	vms := slices.Clone(c.live)
	if !slices.Contains(vms, h.likelyVM) && h.likelyVM != h.id.VM {
		vms = append(vms, h.likelyVM)
	}
	if !slices.Contains(vms, h.id.VM) && c.incarnations[h.id.VM] <= h.id.Incarnation {
		vms = append(vms, h.id.VM)
	}
	return vms
}

// setLive replaces the live VMs.
func (c *Core) setLive(live []identifier.VM) {
	c.live = slices.Clone(live)
	if len(c.incarnations) > MaxVMs {
		maps.DeleteFunc(c.incarnations, func(vm identifier.VM, _ identifier.Incarnation) bool {
			return !slices.Contains(live, vm)
		})
	}
}

// recordVouch records that a VM uses a hold.
func (c *Core) recordVouch(now time.Time, h *hold, vm identifier.VM) {
	h.stage, h.likelyVM, h.vouchedAt = stageVouched, vm, now
	h.waiting, h.releasedAt = nil, time.Time{}
}

// handleDisown handles the answer that a VM doesn't use a hold.
func (c *Core) handleDisown(now time.Time, h *hold, q question, asks *questionBatch) {
	if q.round < h.firstRound {
		return
	}
	switch h.stage {
	case stageAsked:
		c.contest(now, h, asks)
	case stageFinal:
		h.waiting = slices.DeleteFunc(h.waiting, func(vm identifier.VM) bool { return vm == q.to })
	}
}

// handleAnswer handles the answer to an outstanding question. Any other answer,
// such as a duplicate, only updates the incarnation of the VM.
func (c *Core) handleAnswer(now time.Time, a Answered) {
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
	asks := newQuestionBatch()
	for _, h := range q.holds {
		if vouched[h.id] {
			c.recordVouch(now, h, vm)
		} else {
			c.handleDisown(now, h, q, asks)
		}
	}
	c.sendQuestions(now, asks)
}

// questionBatch collects the holds to ask each VM about, in the order of addition.
type questionBatch struct {
	vms   []identifier.VM
	holds map[identifier.VM][]*hold
}

func newQuestionBatch() *questionBatch { return &questionBatch{holds: map[identifier.VM][]*hold{}} }

func (a *questionBatch) add(h *hold, vms ...identifier.VM) {
	for _, vm := range vms {
		if _, ok := a.holds[vm]; !ok {
			a.vms = append(a.vms, vm)
		}
		a.holds[vm] = append(a.holds[vm], h)
	}
}

// sendQuestions sends the collected questions, with at most MaxHoldsPerQuestion
// holds each.
func (c *Core) sendQuestions(now time.Time, a *questionBatch) {
	for _, vm := range a.vms {
		for holds := range slices.Chunk(a.holds[vm], MaxHoldsPerQuestion) {
			c.sendQuestion(now, vm, holds)
		}
	}
}

// sendQuestion sends one question, unless MaxQuestions are outstanding.
func (c *Core) sendQuestion(now time.Time, vm identifier.VM, holds []*hold) {
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

// questionLifetime is how long after a question its answer still counts.
const questionLifetime = 2 * AskEvery

func (c *Core) forgetQuestions(now time.Time) {
	c.questions = slices.DeleteFunc(c.questions, func(q question) bool { return now.Sub(q.at) >= questionLifetime })
}
