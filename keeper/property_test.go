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

// swapResult is one swap and the result that its writer received.
type swapResult struct {
	value   string
	written bool
	err     error
}

// writerPlan holds the pauses, faults and fault durations of one writer's swaps.
type writerPlan struct {
	pauses []time.Duration
	faults []faker.StoreFaults
	// faultDurations holds how long the faults of each swap last.
	faultDurations []time.Duration
}

func drawPlan(rt *rapid.T) writerPlan {
	var p writerPlan
	for range rapid.IntRange(1, 8).Draw(rt, "swaps") {
		p.pauses = append(p.pauses, time.Duration(rapid.IntRange(0, 700).Draw(rt, "wait"))*time.Millisecond)
		p.faultDurations = append(p.faultDurations, time.Duration(rapid.IntRange(1, 30).Draw(rt, "last"))*100*time.Millisecond)
		p.faults = append(p.faults, faker.StoreFaults{
			LoseReplies:  rapid.IntRange(0, 2).Draw(rt, "replies"),
			LoseRequests: rapid.IntRange(0, 2).Draw(rt, "requests"),
			Delay:        time.Duration(rapid.IntRange(0, 3).Draw(rt, "delay")) * 400 * time.Millisecond,
		})
	}
	return p
}

// runPlan makes the swaps of a plan, each with the version that was read just before.
func (s *testStore) runPlan(writer int, p writerPlan) []swapResult {
	var results []swapResult
	for i := range p.pauses {
		time.Sleep(p.pauses[i])
		entry, err := s.Get(s.ctx, purpose, "/a")
		if err != nil {
			continue
		}
		s.store.SetFaults(p.faults[i])
		restore := time.AfterFunc(p.faultDurations[i], func() { s.store.SetFaults(faker.StoreFaults{}) })
		value := fmt.Sprintf("%d/%d", writer, i)
		_, written, err := s.Swap(s.ctx, purpose, "/a", entry.Version, []byte(value))
		restore.Stop()
		results = append(results, swapResult{value: value, written: written, err: err})
	}
	return results
}

// writeCounts returns how often each value was written, once all delayed writes are
// done.
func (s *testStore) writeCounts() map[string]int {
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

// TestSwapResultsMatchStoreHistory runs two concurrent writers under lost
// requests, lost replies and delays beyond the timeout. The result that each
// writer received has to agree with the history of the store.
func TestSwapResultsMatchStoreHistory(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": "3", "rapid.checks": "100"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	counts := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		plans := []writerPlan{drawPlan(rt), drawPlan(rt)}
		withStore(t, nil, func(s *testStore) {
			results := make([][]swapResult, len(plans))
			var writers sync.WaitGroup
			for i, p := range plans {
				writers.Go(func() { results[i] = s.runPlan(i, p) })
			}
			writers.Wait()
			synctest.Wait()
			times := s.writeCounts()
			for _, a := range append(results[0], results[1]...) {
				counts[a.classify(s, times[a.value])]++
			}
		})
	})
	for _, outcome := range []string{"Written", "NotWritten", "Unknown"} {
		NewWithT(t).Expect(counts[outcome]).To(BeNumerically(">", 0), outcome)
	}
	t.Log(counts)
}

// classify compares the result that a writer received with how often the store
// wrote the value, and returns the name of the result.
func (a swapResult) classify(s *testStore, times int) string {
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

// TestReopenedWatchesDeliverEveryChange breaks or hangs watches while a writer
// writes and opens each watch after the last version that was read. No change
// may be lost.
func TestReopenedWatchesDeliverEveryChange(t *testing.T) {
	const writes = 60
	withStore(t, func(cfg *keeper.Settings) { cfg.MaxWatchDuration = 3 * time.Second }, func(s *testStore) {
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
					s.hang(3500 * time.Millisecond)
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

// hang lets calls and watches hang for a time.
func (s *testStore) hang(d time.Duration) {
	s.store.SetFaults(faker.StoreFaults{Hang: true})
	time.Sleep(d)
	s.store.SetFaults(faker.StoreFaults{})
}
