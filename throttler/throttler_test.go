package throttler_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figtrack/figtrack/throttler"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// TestShares checks that single rejections don't make a VM refuse, and that it refuses the more
// the more calls are rejected.
func TestShares(t *testing.T) {
	for name, c := range map[string]struct {
		accepted, rejected int
		acceptance         float64
		after              time.Duration
		want               float64
	}{
		"no calls":                         {0, 0, 1, 0, 0},
		"one rejected call of a quiet VM":  {0, 1, 1, 0, 0},
		"a sixth rejected":                 {50, 10, 1, 0, 0},
		"half rejected":                    {50, 50, 1, 0, 0.19},
		"all rejected":                     {0, 50, 1, 0, 0.78},
		"of a quiet VM in a fleet's burst": {0, 1, 0.5, 0, 0.3},
		"after the window":                 {0, 50, 1, throttler.Window + 200*time.Millisecond, 0},
	} {
		t.Run(name, func(t *testing.T) {
			core := throttler.New(start)
			for range c.accepted {
				core.RecordCall(start, true)
			}
			for range c.rejected {
				core.RecordCall(start, false)
			}
			NewWithT(t).Expect(core.Share(start.Add(c.after), 1.5, c.acceptance)).To(BeNumerically("~", c.want, 0.01))
		})
	}
}

// TestAllowedRefusals checks that refused calls stay below the ratio, and that a VM without
// accepted ones goes by those of the fleet.
func TestAllowedRefusals(t *testing.T) {
	g := NewWithT(t)
	core := throttler.New(start)
	g.Expect(core.Allows(start, 3, 0)).To(BeTrue(), "one is always allowed")
	core.RecordCall(start, false)
	g.Expect(core.Allows(start, 3, 0)).To(BeFalse())
	g.Expect(core.Allows(start, 3, 1)).To(BeTrue())
	core.RecordCall(start, true)
	core.RecordCall(start, false)
	g.Expect(core.Allows(start, 3, 0)).To(BeFalse())
	g.Expect(core.Allows(start.Add(throttler.Window+time.Second), 3, 0)).To(BeTrue())
}
