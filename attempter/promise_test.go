package attempter_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/figtrack/figtrack/attempter"
	"github.com/figtrack/figtrack/driver"
	"github.com/figtrack/figtrack/identifier"
)

// drawnRequest draws the events of one request, each as the result of the outcome before
// it, and keeps what a runner may have begun.
type drawnRequest struct {
	*rapid.T
	fleet *fleet
	// hasBegun is true once a runner may have begun to run the request, headSent once the
	// caller has the head of an answer.
	hasBegun, headSent bool
}

// TestRequestThatBeganIsNotRefused plays drawn orders of answers, refusals, losses, timeouts
// and callers that leave.
func TestRequestThatBeganIsNotRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		job := rapid.SampledFrom([]attempter.Job{
			stream(false), stream(true), plain(false), plain(true), plainThrice(), suspectStream(false), suspectStream(true), suspectPlain(), unprefillableStream(),
		}).Draw(t, "job")
		r := &drawnRequest{T: t, fleet: &fleet{}}
		if rapid.Bool().Draw(t, "mayBlock") {
			r.fleet.blockedFrom = ms(rapid.IntRange(1, 600).Draw(t, "blockedFrom"))
		}
		core := attempter.New(attempter.DefaultSettings(), job, r.fleet)
		now := start
		var e attempter.Event = attempter.Begin{}
		for steps := 0; e != nil && steps < 200; steps++ {
			r.changeFleet()
			outcomes := core.Step(now, e)
			for _, o := range outcomes {
				r.check(job, o)
			}
			now = now.Add(ms(rapid.IntRange(0, 300).Draw(t, "ms")))
			if e = r.next(outcomes); e != nil && !now.Before(job.Deadline) {
				e = attempter.Expired{Begun: r.headSent}
			}
		}
	})
}

func (r *drawnRequest) changeFleet() {
	if rapid.IntRange(0, 3).Draw(r.T, "change") > 0 {
		return
	}
	r.fleet.empty = rapid.Bool().Draw(r.T, "empty")
	r.fleet.spent = rapid.Bool().Draw(r.T, "spent")
	r.fleet.isRateReached = rapid.Bool().Draw(r.T, "rateReached")
	r.fleet.hasOnePlain = rapid.Bool().Draw(r.T, "onePlain")
	r.fleet.isSoftwareGone = rapid.Bool().Draw(r.T, "softwareGone")
	if rapid.Bool().Draw(r.T, "paused") {
		r.fleet.paused, r.fleet.pausedUntil = []identifier.Upstream{"d1", "s1"}, time.Second
	}
}

func (r *drawnRequest) check(job attempter.Job, o attempter.Outcome) {
	switch o.(type) {
	case attempter.Refuse:
		if r.hasBegun || r.headSent {
			r.Fatalf("the request may have run and is refused as not run: %+v", o)
		}
	case attempter.Run:
		if r.hasBegun && !job.IsRepeatable {
			r.Fatal("a request that may not be repeated runs again")
		}
	}
}

// next draws the event that follows the last outcome; nil at the end of the request.
func (r *drawnRequest) next(outcomes []attempter.Outcome) attempter.Event {
	if len(outcomes) == 0 {
		return nil
	}
	last := outcomes[len(outcomes)-1]
	switch last.(type) {
	case attempter.Refuse, attempter.Fail, attempter.Break, attempter.Release, attempter.Discard:
		return nil
	}
	if rapid.IntRange(0, 15).Draw(r.T, "leaves") == 0 {
		return attempter.Abandoned{}
	}
	kinds := []driver.Kind{driver.KindFull, driver.KindLeaving, driver.KindGone, driver.KindNotRun, driver.KindUnknown}
	failed := attempter.Failed{Kind: rapid.SampledFrom(kinds).Draw(r.T, "kind")}
	fails := rapid.Bool().Draw(r.T, "fails")
	switch o := last.(type) {
	case attempter.Rest:
		return attempter.Rested{}
	case attempter.Reserve, attempter.Shrink:
		if fails {
			return failed
		}
		return attempter.Reserved{Hold: "h"}
	case attempter.Prefill:
		if fails {
			return failed
		}
		return attempter.Prefilled{Handle: "k"}
	case attempter.Deliver:
		return r.drawDelivery()
	case attempter.Run:
		return r.drawRun(failed, o.Limit > 0)
	default: // Await and Withdraw
		return r.drawRun(failed, true)
	}
}

// drawRun draws what comes of a run. Only a failure of a known kind proves that it did not
// begin.
func (r *drawnRequest) drawRun(failed attempter.Failed, mayBeLate bool) attempter.Event {
	results := []string{"failed", "answered", "unmarked", "expired"}
	if mayBeLate {
		results = append(results, "overdue")
	}
	result := rapid.SampledFrom(results).Draw(r.T, "run")
	if result == "overdue" {
		return attempter.Overdue{}
	}
	r.hasBegun = r.hasBegun || result != "failed" || failed.Kind == driver.KindUnknown
	switch {
	case result == "failed":
		return failed
	case result == "expired":
		return attempter.Expired{Begun: r.headSent}
	case r.headSent:
		return attempter.Answered{Status: 200}
	case result == "unmarked":
		return attempter.Unmarked{Status: 503}
	}
	return attempter.Answered{Status: rapid.SampledFrom([]int{200, 404, 500, 502, 504}).Draw(r.T, "status")}
}

func (r *drawnRequest) drawDelivery() attempter.Event {
	r.headSent = r.headSent || rapid.Bool().Draw(r.T, "headSent")
	switch rapid.IntRange(0, 2).Draw(r.T, "delivery") {
	case 0:
		return attempter.Broken{LastEvent: "3", Begun: r.headSent}
	case 1:
		return attempter.Expired{Begun: r.headSent}
	default:
		return nil
	}
}
