package keeper_test

import (
	"flag"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/figtrack/figtrack/faker"
	"github.com/figtrack/figtrack/keeper"
)

// attempt is one swap and what its writer was told.
type attempt struct {
	value   string
	written bool
	err     error
}

// plan is what one writer does.
type plan struct {
	waits  []time.Duration
	faults []faker.StoreFaults
	// lasts is how long the faults last.
	lasts []time.Duration
}

func drawPlan(rt *rapid.T) plan {
	var p plan
	for range rapid.IntRange(1, 8).Draw(rt, "swaps") {
		p.waits = append(p.waits, time.Duration(rapid.IntRange(0, 700).Draw(rt, "wait"))*time.Millisecond)
		p.lasts = append(p.lasts, time.Duration(rapid.IntRange(1, 30).Draw(rt, "last"))*100*time.Millisecond)
		p.faults = append(p.faults, faker.StoreFaults{
			LoseReplies:  rapid.IntRange(0, 2).Draw(rt, "replies"),
			LoseRequests: rapid.IntRange(0, 2).Draw(rt, "requests"),
			Delay:        time.Duration(rapid.IntRange(0, 3).Draw(rt, "delay")) * 400 * time.Millisecond,
		})
	}
	return p
}

// run makes the swaps of a plan, each over the version that was read before.
func (s *site) run(writer int, p plan) []attempt {
	var attempts []attempt
	for i := range p.waits {
		time.Sleep(p.waits[i])
		entry, err := s.Get(s.ctx, purpose, "/a")
		if err != nil {
			continue
		}
		s.store.SetFaults(p.faults[i])
		restore := time.AfterFunc(p.lasts[i], func() { s.store.SetFaults(faker.StoreFaults{}) })
		value := fmt.Sprintf("%d/%d", writer, i)
		_, written, err := s.Swap(s.ctx, purpose, "/a", entry.Version, []byte(value))
		restore.Stop()
		attempts = append(attempts, attempt{value: value, written: written, err: err})
	}
	return attempts
}

// history returns how often each value was ever written.
func (s *site) history() map[string]int {
	s.store.SetFaults(faker.StoreFaults{})
	time.Sleep(time.Minute)
	last := s.get("/a").Version
	times := make(map[string]int)
	changes, err := s.Watch(s.ctx, purpose, "/", 0)
	s.Expect(err).NotTo(HaveOccurred())
	for at := keeper.Version(0); at < last; {
		entry := <-changes
		times[string(entry.Value)]++
		at = entry.Version
	}
	return times
}

// TestWritersAreToldTheTruth lets two writers race under lost requests, lost
// replies and delays past the deadline. What the store wrote must agree with
// what each writer was told.
func TestWritersAreToldTheTruth(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": "3", "rapid.checks": "100"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	told := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		plans := []plan{drawPlan(rt), drawPlan(rt)}
		onSite(t, nil, func(s *site) {
			attempts := make([][]attempt, len(plans))
			var writers sync.WaitGroup
			for i, p := range plans {
				writers.Go(func() { attempts[i] = s.run(i, p) })
			}
			writers.Wait()
			synctest.Wait()
			times := s.history()
			for _, a := range append(attempts[0], attempts[1]...) {
				told[a.check(s, times[a.value])]++
			}
		})
	})
	for _, outcome := range []string{"Written", "NotWritten", "Unknown"} {
		NewWithT(t).Expect(told[outcome]).To(BeNumerically(">", 0), outcome)
	}
	t.Log(told)
}

// check compares what a writer was told with how often the store wrote.
func (a attempt) check(s *site, times int) string {
	switch {
	case a.written:
		s.Expect(times).To(Equal(1), a.value)
		return "Written"
	case kindOf(a.err) == keeper.KindUnknown:
		s.Expect(times).To(BeNumerically("<=", 1), a.value)
		return "Unknown"
	default:
		s.Expect(times).To(BeZero(), a.value)
		return "NotWritten"
	}
}

// TestBrokenWatchesMissNothing reads through watches that break and go silent
// while a writer writes, and starts each one where the last one ended.
func TestBrokenWatchesMissNothing(t *testing.T) {
	const writes = 60
	onSite(t, func(cfg *keeper.Settings) { cfg.WatchFor = 3 * time.Second }, func(s *site) {
		var written []keeper.Entry
		var writer sync.WaitGroup
		writer.Go(func() {
			for i := range writes {
				entry, _ := s.swap(fmt.Sprintf("/a/%d", i%7), s.get(fmt.Sprintf("/a/%d", i%7)).Version, fmt.Sprint(i))
				written = append(written, entry)
				time.Sleep(100 * time.Millisecond)
				if i%9 == 8 {
					s.store.BreakWatches()
				}
				if i%20 == 19 {
					s.silence(3500 * time.Millisecond)
				}
			}
		})
		var read []keeper.Entry
		after := keeper.Version(0)
		watches := 0
		for len(read) < writes {
			changes, err := s.Watch(s.ctx, purpose, "/a/", after)
			if err != nil {
				continue
			}
			watches++
			for entry := range changes {
				read = append(read, entry)
				after = entry.Version
				if len(read) == writes {
					break
				}
			}
		}
		writer.Wait()
		s.Expect(read).To(Equal(written))
		s.Expect(watches).To(BeNumerically(">", writes/9))
	})
}

// silence leaves calls and watches without replies for a time.
func (s *site) silence(d time.Duration) {
	s.store.SetFaults(faker.StoreFaults{Hang: true})
	time.Sleep(d)
	s.store.SetFaults(faker.StoreFaults{})
}
