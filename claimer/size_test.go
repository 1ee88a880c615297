package claimer_test

import (
	"encoding/binary"
	"flag"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"pgregory.net/rapid"

	"github.com/figtrack/figtrack/claimer"
	"github.com/figtrack/figtrack/keeper"
)

// fullRecord returns the stored values of a shard whose bases have no room
// left.
func fullRecord(now time.Time) []keeper.Entry {
	limits := claimer.DefaultLimits
	var entries []keeper.Entry
	for n := range limits.BaseSlots {
		claims := make(map[claimer.Key]claimer.Body, limits.BaseClaims)
		for i := range limits.BaseClaims {
			var key claimer.Key
			binary.BigEndian.PutUint64(key[:8], uint64(n)*0x9e3779b97f4a7c15)
			binary.BigEndian.PutUint64(key[8:], uint64(i)*0x9e3779b97f4a7c15)
			claims[key] = claimer.Body(i)
		}
		value := claimer.EncodeBase(claimer.Base{Number: uint64(n + 1), Through: uint64(n + 1), Oldest: now, Newest: now, Claims: claims})
		entries = append(entries, keeper.Entry{
			Key:     fmt.Sprintf("Claims/0/Base/%03d/%d", (n+1)%limits.BaseSlots/claimer.BaseGroup, (n+1)%claimer.BaseGroup),
			Value:   value,
			Version: keeper.Version(n + 1),
		})
	}
	segment := claimer.EncodeSegment(claimer.Segment{Number: uint64(limits.BaseSlots), At: now})
	return append(entries, keeper.Entry{Key: "Claims/0/Log/000032", Value: segment, Version: 99})
}

// TestFullRecordFitsItsLimits reads a full record as a new leader does, and
// checks the size of its values, the memory per key and the number of store
// calls.
func TestFullRecordFitsItsLimits(t *testing.T) {
	g := NewWithT(t)
	now := time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)
	entries := fullRecord(now)
	for _, entry := range entries {
		g.Expect(len(entry.Value)).To(BeNumerically("<", claimer.MaxValueBytes))
	}
	before := heapBytes()
	core := claimer.New(0, claimer.DefaultLimits)
	calls := 0
	events := []claimer.Event{claimer.ClaimAsked{Claim: claimer.Claim{Key: claimer.Key{1}, Holder: claimer.Holder{VM: "vm1", Nonce: 1}}}}
	for len(events) > 0 {
		var next []claimer.Event
		for _, o := range core.Step(now, events[0]) {
			if o, ok := o.(claimer.List); ok {
				calls++
				next = append(next, claimer.Listed{Call: o.Call, Entries: withPrefix(entries, o.Prefix)})
			}
		}
		events = next
	}
	perKey := float64(heapBytes()-before) / float64(claimer.DefaultLimits.BaseSlots*claimer.DefaultLimits.BaseClaims)
	t.Logf("%.1f bytes a key, %d store calls", perKey, calls)
	g.Expect(perKey).To(BeNumerically("<=", claimer.BytesPerKey))
	g.Expect(perKey).To(BeNumerically(">=", 24), "the keys are in memory")
	g.Expect(calls).To(Equal(1 + claimer.DefaultLimits.BaseSlots/claimer.BaseGroup))
	runtime.KeepAlive(core)
	runtime.KeepAlive(entries)
}

func withPrefix(entries []keeper.Entry, prefix string) []keeper.Entry {
	var found []keeper.Entry
	for _, entry := range entries {
		if strings.HasPrefix(entry.Key, prefix) {
			found = append(found, entry)
		}
	}
	return found
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// TestStoreCallsDontGrowWithAsks claims 20,000 keys in ten seconds and checks
// that the leader's calls stay within MaxStoreCallsPerSecond.
func TestStoreCallsDontGrowWithAsks(t *testing.T) {
	checks := flag.Lookup("rapid.checks").Value.String()
	_ = flag.Set("rapid.checks", "1")
	defer func() { _ = flag.Set("rapid.checks", checks) }()
	calls := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		w.leaders = []*leader{{core: claimer.New(0, claimer.DefaultLimits)}}
		for n := range 10_000 {
			for half := range 2 {
				var key claimer.Key
				binary.BigEndian.PutUint64(key[:], uint64(2*n+half))
				w.askKey(t, 0, key, time.Time{})
			}
			w.performCalls(t)
			w.advance(t, time.Millisecond, -1)
			w.asked = w.asked[max(0, len(w.asked)-200):]
		}
		w.runBatches(t)
		calls = w.storeCallCount
		if len(w.granted) != 20_000 || calls > 10*claimer.MaxStoreCallsPerSecond {
			t.Fatalf("%d grants with %d store calls", len(w.granted), calls)
		}
	})
	t.Logf("%d store calls", calls)
}
