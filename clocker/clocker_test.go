package clocker_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figtrack/figtrack/clocker"
)

// TestExpiryCountsByEitherClock guards against a permission that is used after a pause in which
// one of the clocks stood still or was set.
func TestExpiryCountsByEitherClock(t *testing.T) {
	noon := time.Date(2026, 12, 6, 12, 0, 0, 0, time.UTC)
	for name, c := range map[string]struct{ mono, wall, longest, shortest time.Duration }{
		"running":           {time.Second, time.Second, time.Second, time.Second},
		"stopped process":   {time.Minute, time.Minute, time.Minute, time.Minute},
		"suspended VM":      {time.Millisecond, time.Minute, time.Minute, time.Millisecond},
		"wall set back":     {time.Second, -time.Hour, time.Second, 0},
		"wall set forward":  {time.Second, time.Hour, time.Hour, time.Second},
		"set back in sleep": {time.Millisecond, 0, time.Millisecond, 0},
	} {
		g := NewWithT(t)
		since := clocker.Moment{Mono: time.Hour, Wall: noon}
		now := clocker.Moment{Mono: time.Hour + c.mono, Wall: noon.Add(c.wall)}
		g.Expect(now.Longest(since)).To(Equal(c.longest), name)
		g.Expect(now.Shortest(since)).To(Equal(c.shortest), name)
	}
}
