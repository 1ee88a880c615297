package demonstrator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// Surge specifies the load of a demonstration.
type Surge struct {
	Seed uint64
	// Quick and Long are the numbers of LoadNote and SpecReading requests.
	Quick, Long int
	// Reservations is the number of reservations, each of which is sent several
	// times with its own key.
	Reservations int
	// ArrivalPeriod is the period in which all completion requests are sent, at
	// random times.
	ArrivalPeriod time.Duration
}

// DefaultSurge returns a load that is higher than the fleet of Himal can answer
// within the targets.
func DefaultSurge() Surge {
	return Surge{Seed: 1, Quick: 160, Long: 40, Reservations: 12, ArrivalPeriod: 2 * time.Second}
}

// ClassReport holds the outcomes of the requests of one class.
type ClassReport struct {
	Class identifier.Class
	// Requests counts the requests, Wrong those that failed or had an unexpected
	// answer.
	Requests, Answered, Refused, Wrong int
	// InTarget counts the answers that met both targets as measured by the
	// caller.
	InTarget int
	// FirstToken50, FirstToken95 and PerToken95 are percentiles over the
	// answers.
	FirstToken50, FirstToken95, PerToken95 time.Duration
}

// Report holds the outcomes of a surge.
type Report struct {
	Lines []ClassReport
	// Reservations counts the keys, Runs how often the plain services ran them,
	// RepeatsRefused the refused calls; MostRuns is the highest number of runs of
	// one key.
	Reservations, Runs, RepeatsRefused, MostRuns int
	// PrefillSeconds is the engine time of all prefills, WastedSeconds that of
	// prefills whose result was not used.
	PrefillSeconds, WastedSeconds float64
	// Problems describes the replies and counts that were not as expected; it
	// is empty if all were.
	Problems []string
}

// Run sends the requests of a surge and checks every reply.
func (f *Fleet) Run(ctx context.Context, surge Surge) Report {
	rng := newRand(surge.Seed)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	requests := surge.requests(rng)
	replies := make([]reply, len(requests))
	var counts reservationCounts
	var keys []string
	var wg sync.WaitGroup
	for i, a := range requests {
		delay := time.Duration(rng.Int64N(int64(surge.ArrivalPeriod)))
		wg.Go(func() {
			time.Sleep(delay)
			replies[i] = sendCompletion(ctx, client, f.Addresses[i%len(f.Addresses)], a)
		})
	}
	for i := range surge.Reservations {
		key := fmt.Sprintf("reservation-%d", i+1)
		keys = append(keys, key)
		wg.Go(func() { f.sendReservation(ctx, client, key, &counts) })
	}
	wg.Wait()
	time.Sleep(settleDelay)
	return f.report(replies, &counts, keys)
}

// requests returns the completion requests of both classes in random order.
func (s Surge) requests(rng *rand.Rand) []callerRequest {
	var out []callerRequest
	for i := range s.Quick {
		out = append(out, callerRequest{
			class:     loadNote,
			workspace: fmt.Sprintf("franchise-%d", i%12),
			prompt:    question(rng),
			maxOutput: 24 + rng.IntN(40),
		})
	}
	for i := range s.Long {
		out = append(out, callerRequest{
			class:     specReading,
			workspace: fmt.Sprintf("franchise-%d", i%12),
			prompt:    specification(rng, 16_000+rng.IntN(48_000)),
			maxOutput: 60 + rng.IntN(60),
		})
	}
	rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

func (f *Fleet) report(replies []reply, counts *reservationCounts, keys []string) Report {
	var out Report
	for _, class := range f.document().Classes {
		line := ClassReport{Class: class.Name}
		var firstTokens, perTokens []time.Duration
		for _, r := range replies {
			if r.class != class.Name {
				continue
			}
			line.Requests++
			switch {
			case r.problem != "":
				line.Wrong++
				out.Problems = append(out.Problems, fmt.Sprintf("%s: %s", r.class, r.problem))
			case r.status != http.StatusOK:
				line.Refused++
				out.Problems = append(out.Problems, r.refusalProblems()...)
			default:
				line.Answered++
				firstTokens = append(firstTokens, r.firstToken)
				perTokens = append(perTokens, r.perToken)
				if r.firstToken <= time.Duration(class.FirstToken) && r.perToken <= time.Duration(class.PerToken) {
					line.InTarget++
				}
			}
		}
		line.FirstToken50 = percentile(firstTokens, 50)
		line.FirstToken95 = percentile(firstTokens, 95)
		line.PerToken95 = percentile(perTokens, 95)
		out.Lines = append(out.Lines, line)
	}
	f.addReservations(&out, counts, keys)
	out.PrefillSeconds, out.WastedSeconds = f.prefillSeconds()
	return out
}

// refusalProblems describes what a refusal should contain but lacks.
func (r reply) refusalProblems() []string {
	var out []string
	if r.reason == "" || r.ran == "" {
		out = append(out, fmt.Sprintf("%s: a refusal with status %d says no reason", r.class, r.status))
	}
	if r.status == http.StatusServiceUnavailable && r.retryAfter == "" {
		out = append(out, fmt.Sprintf("%s: refusal %s has no Retry-After", r.class, r.reason))
	}
	return out
}

func (f *Fleet) addReservations(out *Report, counts *reservationCounts, keys []string) {
	out.Reservations = len(keys)
	out.RepeatsRefused = counts.refused
	out.Runs, out.MostRuns = f.countRuns(keys)
	if counts.firstProblem != "" {
		out.Problems = append(out.Problems, counts.firstProblem)
	}
	if out.MostRuns > 1 {
		out.Problems = append(out.Problems, fmt.Sprintf("a reservation ran %d times", out.MostRuns))
	}
}

func percentile(list []time.Duration, p int) time.Duration {
	if len(list) == 0 {
		return 0
	}
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return list[(len(list)-1)*p/100]
}

// prefillSeconds sums the engine time of prefills over all VMs, and that of prefills
// whose result was not used.
func (f *Fleet) prefillSeconds() (all, wasted float64) {
	for _, s := range f.Servers {
		families, err := s.Metrics().Gather()
		if err != nil {
			continue
		}
		for _, family := range families {
			if family.GetName() != "figtrack_prefill_seconds_total" {
				continue
			}
			for _, m := range family.GetMetric() {
				all += m.GetCounter().GetValue()
				for _, label := range m.GetLabel() {
					if label.GetName() == "used" && label.GetValue() == "false" {
						wasted += m.GetCounter().GetValue()
					}
				}
			}
		}
	}
	return all, wasted
}
