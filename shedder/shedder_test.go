package shedder_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/figtrack/figtrack/shedder"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func newCore() *shedder.Core { return shedder.New(start, rand.New(rand.NewPCG(1, 1))) }

// TestRetryAfter guards against refused callers that come back into the same burst, all at
// the same time, or later than a third of the time that they have left.
func TestRetryAfter(t *testing.T) {
	var w strings.Builder
	fmt.Fprintln(&w, "granted refused    left   least    mean    most")
	for _, counts := range [][2]int{{100, 0}, {100, 5}, {100, 20}, {1, 1}, {0, 1}, {100, 100}, {100, 300}} {
		for _, left := range []time.Duration{14 * time.Second, 3 * time.Second, 1500 * time.Millisecond, 600 * time.Millisecond, 0} {
			c := newCore()
			for range counts[0] {
				c.RecordGranted(start)
			}
			for range counts[1] {
				c.RecordRefused(start)
			}
			least, most, sum := time.Hour, time.Duration(0), time.Duration(0)
			const draws = 1000
			for range draws {
				after := c.RetryAfter(start.Add(time.Second), left)
				least, most, sum = min(least, after), max(most, after), sum+after
			}
			if most > left/3 {
				t.Errorf("a caller with %s left was told %s", left, most)
			}
			fmt.Fprintf(&w, "%7d %7d %7s %5dms %5dms %5dms\n", counts[0], counts[1], left, least.Milliseconds(), (sum / draws).Milliseconds(), most.Milliseconds())
		}
	}
	goldie.New(t).Assert(t, "retry_after", []byte(w.String()))
}

// TestOverloadIsForgotten guards against long times in calm, after a burst.
func TestOverloadIsForgotten(t *testing.T) {
	c := newCore()
	for range 16 {
		c.RecordRefused(start)
	}
	if !c.IsOverloaded(start.Add(1900*time.Millisecond)) || c.IsOverloaded(start.Add(2*time.Second)) {
		t.Error("refusals count for two seconds")
	}
}
