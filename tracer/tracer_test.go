package tracer_test

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/tracer"
)

func record(t *testing.T, plan tracer.Plan) *tracer.Trace {
	t.Helper()
	trace, err := tracer.Record(plan)
	if err != nil {
		t.Fatal(err)
	}
	return trace
}

func TestRecordIsDeterministicAndRoundTrips(t *testing.T) {
	for _, site := range tracer.Sites {
		for _, scenario := range tracer.Scenarios {
			t.Run(site+"/"+scenario, func(t *testing.T) {
				g := NewWithT(t)
				plan := tracer.Plan{Site: site, Scenario: scenario, Load: 1, Seed: 7}
				trace := record(t, plan)
				var file, again bytes.Buffer
				g.Expect(tracer.Write(&file, trace)).To(Succeed())
				g.Expect(tracer.Write(&again, record(t, plan))).To(Succeed())
				g.Expect(again.Bytes()).To(Equal(file.Bytes()))
				read, err := tracer.Read(&file, nil)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(read).To(Equal(trace))
			})
		}
	}
}

func TestPeakHasPlannedRate(t *testing.T) {
	g := NewWithT(t)
	trace := record(t, tracer.Plan{Site: "himal", Scenario: "surge", Load: 3, Seed: 1})
	header := trace.Header
	peak := 0
	for _, a := range trace.Arrivals {
		if !a.Time.Before(header.PeakFrom) && a.Time.Before(header.PeakTo) {
			peak++
		}
	}
	want := 3 * header.Capacity.PerSecond * header.PeakTo.Sub(header.PeakFrom).Seconds()
	g.Expect(float64(peak)).To(BeNumerically("~", want, 0.06*want))
}

func TestOfferedLoadMatchesPlan(t *testing.T) {
	for _, site := range tracer.Sites {
		for _, scenario := range tracer.Scenarios {
			for seed := range uint64(2) {
				trace := record(t, tracer.Plan{Site: site, Scenario: scenario, Load: 1.5, Seed: seed})
				NewWithT(t).Expect(trace.Header.Offered).To(BeNumerically("~", 1.5, 0.03), "%s %s %d", site, scenario, seed)
			}
		}
	}
}

func TestSharedPrefixGivesSharedBlocks(t *testing.T) {
	g := NewWithT(t)
	a := tracer.Arrival{Request: "a", Prompt: 1100, Chain: 9, Shared: 600}
	b := tracer.Arrival{Request: "b", Prompt: 2000, Chain: 9, Shared: 600}
	g.Expect(a.Blocks()).To(HaveLen(4))
	g.Expect(a.Blocks()[:2]).To(Equal(b.Blocks()[:2]))
	g.Expect(a.Blocks()[2]).NotTo(Equal(b.Blocks()[2]))
	g.Expect(a.SharedBlockTokens()).To(Equal(identifier.Tokens(512)))
}

func TestReadErrorNamesLineAndCause(t *testing.T) {
	trace := record(t, tracer.Plan{Site: "himal", Scenario: "cancel", Load: 0.1, Seed: 1})
	var file bytes.Buffer
	NewWithT(t).Expect(tracer.Write(&file, trace)).To(Succeed())
	lines := strings.SplitAfter(file.String(), "\n")
	header, arrival := lines[0], lines[1]
	for want, text := range map[string]string{
		"no Header line":                   `{"Kind":"Placed","At":"2026-12-01T08:00:00Z"}`,
		"line 1: not a JSON object":        "hull notes",
		"line 1: Header: ":                 `{"Kind":"Header","At":"2026-12-01T08:00:00Z"}`,
		"line 2: second Header line":       header + header,
		"line 1: Arrival of":               arrival,
		"line 2: Cancel: Request \"x\"":    header + `{"Kind":"Cancel","Request":"x"}`,
		"line 2: Fault: Upstream \"x\"":    header + `{"Kind":"Fault","Upstream":"x"}`,
		"line 2: Fault: Fault \"Burns\"":   header + `{"Kind":"Fault","Upstream":"spec-desk-1","Fault":"Burns"}`,
		"is not in the Header":             header + strings.Replace(arrival, `"VM":"`, `"VM":"no`, 1),
		"LoadEvery must be at least 1 ms":  strings.Replace(header, `"LoadEvery":100000000`, `"LoadEvery":100`, 1),
		"has PrefillBase -1s, allowed is":  strings.Replace(header, `"PrefillBase":10000000`, `"PrefillBase":-1000000000`, 1),
		"the trace lasts 8760h":            header + strings.Replace(arrival, "2026-", "2027-", 1),
		"must be at most 1048576":          header + strings.Replace(arrival, `"Prompt":`, `"Prompt":9999`, 1),
		"must be at least 1":               header + strings.Replace(arrival, `"Prompt":`, `"Prompt":-`, 1),
		"line 2: Arrival: json: cannot un": header + strings.Replace(arrival, `"Prompt":`, `"Prompt":"a","X":`, 1),
	} {
		t.Run(want, func(t *testing.T) {
			_, err := tracer.Read(strings.NewReader(text), nil)
			NewWithT(t).Expect(err).To(MatchError(ContainSubstring(want)))
		})
	}
}

// TestReadDecisionLog logs arrivals in reverse order, a repeated arrival and
// lines of other kinds, and reads the log as a trace with a given Header.
func TestReadDecisionLog(t *testing.T) {
	g := NewWithT(t)
	trace := record(t, tracer.Plan{Site: "himal", Scenario: "cancel", Load: 0.1, Seed: 1})
	var file bytes.Buffer
	log := zerolog.New(&file).With().Timestamp().Logger()
	log.Info().Str("Kind", "Started").Msg("Started")
	for i := len(trace.Arrivals) - 1; i >= 0; i-- {
		log.Info().Str("VM", string(trace.Arrivals[i].VM)).EmbedObject(trace.Arrivals[i]).Msg("Arrival")
	}
	for _, c := range trace.Cancels {
		log.Info().EmbedObject(c).Msg("Cancel")
	}
	log.Info().Str("Kind", "Placed").Msg("Placed")
	log.Info().Str("VM", string(trace.Arrivals[0].VM)).EmbedObject(trace.Arrivals[0]).Msg("Arrival")
	read, err := tracer.Read(&file, &trace.Header)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(read.Skipped).To(Equal(2))
	g.Expect(read.Repeated).To(Equal(1))
	g.Expect(read.Cancels).To(Equal(trace.Cancels))
	g.Expect(read.Arrivals).To(HaveLen(len(trace.Arrivals)))
	for i, a := range read.Arrivals {
		g.Expect(a.Blocks()).To(Equal(trace.Arrivals[i].Blocks()))
		a.Prefix = nil
		g.Expect(a).To(Equal(trace.Arrivals[i]))
	}
}

func TestRecordRejectsInvalidPlans(t *testing.T) {
	for want, plan := range map[string]tracer.Plan{
		"unknown site":     {Site: "x", Scenario: "surge", Load: 1},
		"unknown scenario": {Site: "himal", Scenario: "x", Load: 1},
		"load 0":           {Site: "himal", Scenario: "surge"},
	} {
		_, err := tracer.Record(plan)
		NewWithT(t).Expect(err).To(MatchError(ContainSubstring(want)), fmt.Sprint(plan))
	}
}

// FuzzRead checks that Read doesn't panic and that a trace it accepts survives a
// round trip through Write and Read.
func FuzzRead(f *testing.F) {
	small, err := os.ReadFile("../replayer/testdata/small.jsonl")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(bytes.Join(bytes.SplitAfterN(small, []byte("\n"), 4)[:3], nil))
	f.Add([]byte(`{"Kind":"Cancel","Request":"a"}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		trace, err := tracer.Read(bytes.NewReader(text), nil)
		if err != nil {
			return
		}
		var file bytes.Buffer
		g := NewWithT(t)
		g.Expect(tracer.Write(&file, trace)).To(Succeed())
		again, err := tracer.Read(&file, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(again.Arrivals).To(HaveLen(len(trace.Arrivals)))
	})
}
