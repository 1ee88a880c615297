package isolator_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/isolator"
)

// opening is a day that opens with requests of one kind, whose prompts share a part.
type opening struct {
	vms int
	// isBad is true if engines crash on the part. crashesAll is true if all engines crash
	// together, at 150 ms, and are back 4.5 s later.
	isBad, crashesAll bool
	// killed is true if the VM that claims the first probe is killed at once.
	killed bool
}

// openingResult is what a day led to. reached is the number of requests that reached engines
// later than blockedBy, servedAt when one was answered first after that.
type openingResult struct {
	reached, served int
	servedAt        time.Duration
}

const (
	openingTick = 50 * time.Millisecond
	enginesBack = 4650 * time.Millisecond
	// blockedBy is when all VMs have to know of the third crash.
	blockedBy = 2 * time.Second
)

func (o opening) play(seed uint64) (result openingResult) {
	const engines, readTicks, length = 9, 8, 60 * time.Second
	s := &simulated{rand: rand.New(rand.NewPCG(seed, 2)), inFlight: map[isolator.Crash][]simulatedRun{}, starts: make([]int, engines)}
	for range o.vms {
		s.cores = append(s.cores, isolator.NewStarting(start.Add(-10*time.Second)))
	}
	traits := func(n int) []isolator.Trait {
		return []isolator.Trait{"part", isolator.Trait(fmt.Sprint("content ", n))}
	}
	type waiting struct{ vm, n int }
	var probes []waiting
	isKilled, n := false, 0
	// send handles a request, and reports whether it waits for a probe to be claimed.
	send := func(now time.Duration, vm, n int) bool {
		core, t := s.cores[vm], traits(n)
		_, _, isBlocked := core.FindBlocked(t)
		if isBlocked {
			switch core.TakeProbe(start.Add(now), t) {
			case isolator.Refused:
				return false
			case isolator.Awaited:
				return true
			}
		}
		isDown := o.crashesAll && now >= 150*time.Millisecond && now < enginesBack
		if isDown {
			core.ReturnProbe(t)
			return false
		}
		if isBlocked && o.killed && !isKilled {
			isKilled, s.cores[vm] = true, isolator.NewStarting(start.Add(now))
			s.step(now, vm, s.read())
			return false
		}
		engine := s.rand.IntN(engines)
		on := isolator.Crash{Upstream: identifier.Upstream(fmt.Sprint("d", engine)), Start: identifier.Incarnation(s.starts[engine])}
		s.inFlight[on] = append(s.inFlight[on], simulatedRun{vm, t, now})
		if now >= blockedBy {
			result.reached++
		}
		return false
	}
	for now := time.Duration(0); now < length; now += openingTick {
		for vm := range s.cores {
			if int(now/openingTick)%readTicks == vm%readTicks {
				s.step(now, vm, s.read())
			}
			s.step(now, vm, isolator.Wake{})
		}
		if o.crashesAll && now == 150*time.Millisecond {
			for engine := range engines {
				s.crashEngine(now, engine)
			}
		}
		for engine := range engines {
			on := isolator.Crash{Upstream: identifier.Upstream(fmt.Sprint("d", engine)), Start: identifier.Incarnation(s.starts[engine])}
			runs := s.inFlight[on]
			switch {
			case len(runs) == 0 || now-runs[0].since < 250*time.Millisecond:
			case o.isBad:
				s.crashEngine(now, engine)
			case now-runs[0].since >= 2*time.Second:
				s.inFlight[on] = runs[1:]
				s.step(now, runs[0].vm, isolator.RunCompleted{Traits: runs[0].traits})
				if result.served++; result.servedAt == 0 && now >= blockedBy {
					result.servedAt = now
				}
			}
		}
		var still []waiting
		for _, w := range probes {
			if send(now, w.vm, w.n) {
				still = append(still, w)
			}
		}
		probes = still
		burst := 0
		switch {
		case now == 0:
			burst = 5
		case now >= blockedBy && now%(500*time.Millisecond) == 0:
			burst = 1
		}
		for range burst {
			n++
			if vm := s.rand.IntN(o.vms); send(now, vm, n) {
				probes = append(probes, waiting{vm, n})
			}
		}
	}
	return result
}

// TestBlockedTraitIsProbed guards against review/13, a kind of sound requests that is blocked for an
// hour by one crash of all engines, and against its other side: a part on which engines crash is
// refused from the third crash on, also beside such a crash.
func TestBlockedTraitIsProbed(t *testing.T) {
	for _, o := range []opening{
		{vms: 1, crashesAll: true},
		{vms: 6, crashesAll: true},
		{vms: 6, crashesAll: true, killed: true},
		{vms: 295, crashesAll: true},
		{vms: 6, isBad: true},
		{vms: 6, isBad: true, killed: true},
		{vms: 6, isBad: true, crashesAll: true},
		{vms: 295, isBad: true, crashesAll: true},
	} {
		t.Run(fmt.Sprintf("%+v", o), func(t *testing.T) {
			for seed := range uint64(max(1, 60/o.vms)) {
				g := NewWithT(t)
				r := o.play(seed)
				if o.isBad {
					g.Expect(r.reached).To(BeNumerically("<=", isolator.MaxProbes), "seed %d", seed)
					g.Expect(r.served).To(BeZero())
					continue
				}
				limit := enginesBack + 5*time.Second
				if o.killed {
					limit += isolator.ProbeBackoff * isolator.ProbeDelay
				}
				g.Expect(r.servedAt).To(And(BeNumerically(">", 0), BeNumerically("<=", limit)), "seed %d", seed)
				g.Expect(r.served).To(BeNumerically(">=", 80), "seed %d", seed)
			}
		})
	}
}
