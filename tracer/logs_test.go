package tracer_test

import (
	"bytes"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"github.com/figtrack/figtrack/tracer"
)

// TestFromLogs reads the logs of two VMs with an answered request, a refused one
// that is sent again, an abandoned one, a call to a plain service, an engine that
// joins late and one that leaves.
func TestFromLogs(t *testing.T) {
	g := NewWithT(t)
	text, err := os.ReadFile("testdata/fleet.log")
	g.Expect(err).NotTo(HaveOccurred())
	trace, played, err := tracer.FromLogs(tracer.LogSelection{}, bytes.NewReader(text))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(played).To(Equal(tracer.LogOutcomes{Requests: 4, Answered: 1, Refused: 2, Other: 1, InTarget: 1}))
	var w bytes.Buffer
	g.Expect(tracer.Write(&w, trace)).To(Succeed())
	goldie.New(t).Assert(t, "fleet", w.Bytes())
	again, err := tracer.Read(bytes.NewReader(w.Bytes()), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again.Arrivals).To(Equal(trace.Arrivals))

	part, played, err := tracer.FromLogs(tracer.LogSelection{From: "08:00:02", To: "08:00:03"}, bytes.NewReader(text))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(part.Arrivals).To(HaveLen(1))
	g.Expect(played.Requests).To(Equal(1))
}

func TestFromLogsErrorNamesMissingLines(t *testing.T) {
	g := NewWithT(t)
	for logs, problem := range map[string]string{
		"no JSON here\n": "no line of a VM",
		`{"VM":"vm-1","Time":"2026-12-04T08:00:00Z","message":"Started"}` + "\n":                                                     "no request for a pool with engines",
		`{"VM":"vm-1","Time":"2026-12-04T08:00:00Z","message":"Arrived","Request":"r1","Pool":"desk","Route":"r","Input":10}` + "\n": "PoolInForce",
	} {
		_, _, err := tracer.FromLogs(tracer.LogSelection{}, strings.NewReader(logs))
		g.Expect(err).To(MatchError(ContainSubstring(problem)))
	}
	_, _, err := tracer.FromLogs(tracer.LogSelection{From: "noon"}, strings.NewReader(`{"VM":"vm-1","Time":"2026-12-04T08:00:00Z","message":"Arrived","Request":"r1","Pool":"desk","Route":"r","Input":10}`))
	g.Expect(err).To(MatchError(ContainSubstring("15:04:05.000")))
}
