package replayer_test

import (
	"bytes"
	"strings"
	"testing"
	"unicode/utf8"

	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"github.com/figtrack/figtrack/replayer"
	"github.com/figtrack/figtrack/tracer"
)

// maxColumns is the width of a standard terminal.
const maxColumns = 80

// TestTableOfRecordedTrace prints the results of two baselines on the trace
// in testdata, in which some callers cancel.
func TestTableOfRecordedTrace(t *testing.T) {
	g := NewWithT(t)
	trace, err := tracer.ReadFile("testdata/small.jsonl", nil)
	g.Expect(err).NotTo(HaveOccurred())
	var results []replayer.Result
	for _, name := range []string{"least-load", "no-reservation-refusing"} {
		maker, err := replayer.FindPolicy(name)
		g.Expect(err).NotTo(HaveOccurred())
		results = append(results, replayer.Run(trace, maker, 1))
	}
	var out bytes.Buffer
	replayer.WriteTable(&out, results)
	replayer.WriteSummary(&out, results)
	for line := range strings.Lines(out.String()) {
		g.Expect(utf8.RuneCountInString(line)).To(BeNumerically("<=", maxColumns+1), line)
	}
	goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, "table", out.Bytes())
}
