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

// Surge is the load of a demonstration.
type Surge struct {
	Seed uint64
	// Quick and Long count the requests of each class.
	Quick, Long int
	// Reservations counts the keys that are each sent several times.
	Reservations int
	// Within is the time in which all arrive.
	Within time.Duration
}

// DefaultSurge is a load over what the fleet can answer inside the targets.
func DefaultSurge() Surge {
	return Surge{Seed: 1, Quick: 160, Long: 40, Reservations: 12, Within: 2 * time.Second}
}

// Line is what became of one class.
type Line struct {
	Class                              identifier.Class
	Requests, Answered, Refused, Wrong int
	// InTarget counts the answers that met both targets at the caller.
	InTarget int
	// FirstToken50, FirstToken95 and PerToken95 are percentiles of answers.
	FirstToken50, FirstToken95, PerToken95 time.Duration
}

// Report is what became of a surge.
type Report struct {
	Lines []Line
	// Reservations, Runs, RepeatsRefused and MostRuns tell of the service.
	Reservations, Runs, RepeatsRefused, MostRuns int
	// PrefillSeconds and WastedSeconds are engine time.
	PrefillSeconds, WastedSeconds float64
	// Problems lists what was not as it must be; empty when all was.
	Problems []string
}

// Run plays a surge and checks every reply.
func (f *Fleet) Run(ctx context.Context, surge Surge) Report {
	rng := newSource(surge.Seed)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	asks := surge.asks(rng)
	replies := make([]reply, len(asks))
	var orders reservations
	var keys []string
	var wg sync.WaitGroup
	for i, a := range asks {
		after := time.Duration(rng.Int64N(int64(surge.Within)))
		wg.Go(func() {
			time.Sleep(after)
			replies[i] = complete(ctx, client, f.Addresses[i%len(f.Addresses)], a)
		})
	}
	for i := range surge.Reservations {
		key := fmt.Sprintf("reservation-%d", i+1)
		keys = append(keys, key)
		wg.Go(func() { f.reserve(ctx, client, key, &orders) })
	}
	wg.Wait()
	time.Sleep(settle)
	return f.report(replies, &orders, keys)
}

// asks mixes the requests of both classes.
func (s Surge) asks(rng *rand.Rand) []ask {
	var out []ask
	for i := range s.Quick {
		out = append(out, ask{
			class:     loadNote,
			workspace: fmt.Sprintf("franchise-%d", i%12),
			prompt:    question(rng),
			maxOutput: 24 + rng.IntN(40),
		})
	}
	for i := range s.Long {
		out = append(out, ask{
			class:     specReading,
			workspace: fmt.Sprintf("franchise-%d", i%12),
			prompt:    specification(rng, 16_000+rng.IntN(48_000)),
			maxOutput: 60 + rng.IntN(60),
		})
	}
	rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

func (f *Fleet) report(replies []reply, orders *reservations, keys []string) Report {
	var out Report
	for _, class := range f.document().Classes {
		line := Line{Class: class.Name}
		var first, pace []time.Duration
		for _, r := range replies {
			if r.class != class.Name {
				continue
			}
			line.Requests++
			switch {
			case r.wrong != "":
				line.Wrong++
				out.Problems = append(out.Problems, fmt.Sprintf("%s: %s", r.class, r.wrong))
			case r.status != http.StatusOK:
				line.Refused++
				out.Problems = append(out.Problems, r.problems()...)
			default:
				line.Answered++
				first = append(first, r.firstToken)
				pace = append(pace, r.perToken)
				if r.firstToken <= time.Duration(class.FirstToken) && r.perToken <= time.Duration(class.PerToken) {
					line.InTarget++
				}
			}
		}
		line.FirstToken50 = percentile(first, 50)
		line.FirstToken95 = percentile(first, 95)
		line.PerToken95 = percentile(pace, 95)
		out.Lines = append(out.Lines, line)
	}
	f.reportOrders(&out, orders, keys)
	out.PrefillSeconds, out.WastedSeconds = f.prefill()
	return out
}

// problems tells what a refusal lacks.
func (r reply) problems() []string {
	var out []string
	if r.reason == "" || r.ran == "" {
		out = append(out, fmt.Sprintf("%s: a refusal with status %d says no reason", r.class, r.status))
	}
	if r.status == http.StatusServiceUnavailable && r.retryAfter == "" {
		out = append(out, fmt.Sprintf("%s: refusal %s has no Retry-After", r.class, r.reason))
	}
	return out
}

func (f *Fleet) reportOrders(out *Report, orders *reservations, keys []string) {
	out.Reservations = len(keys)
	out.RepeatsRefused = orders.refused
	out.Runs, out.MostRuns = f.runs(keys)
	if orders.wrong != "" {
		out.Problems = append(out.Problems, orders.wrong)
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

// prefill sums the engine time of prefills over all VMs.
func (f *Fleet) prefill() (all, wasted float64) {
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
