package accounter_test

import (
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"github.com/figtrack/figtrack/accounter"
	"github.com/figtrack/figtrack/explainer"
)

func readDay(g *WithT) []accounter.Request {
	log, err := os.Open("testdata/day.log")
	g.Expect(err).NotTo(HaveOccurred())
	defer log.Close()
	entries, err := explainer.ReadLogs([]io.Reader{log})
	g.Expect(err).NotTo(HaveOccurred())
	return accounter.Read(entries)
}

// TestTables reads a log with a request for each cause.
func TestTables(t *testing.T) {
	g := NewWithT(t)
	requests := readDay(g)
	seen := map[accounter.Cause]bool{}
	var w strings.Builder
	for _, r := range requests {
		seen[r.Cause] = true
	}
	for _, c := range accounter.Causes {
		g.Expect(seen[c]).To(BeTrue(), "no request with cause %s", c)
	}
	for _, by := range []accounter.Grouping{accounter.ByRoute, accounter.ByDataCentre, accounter.BySecond, accounter.ByPromptSize, accounter.ByWorkspace} {
		sums := accounter.Sums(requests, by)
		accounter.WriteTable(&w, by, sums)
		total := 0
		for _, s := range sums {
			total += s.Total
		}
		g.Expect(total).To(Equal(len(requests)))
	}
	goldie.New(t).Assert(t, "tables", []byte(w.String()))
}

func TestPlot(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "day.svg")
	g.Expect(accounter.WritePlot(path, readDay(g))).To(Succeed())
	text, err := os.ReadFile(path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(text)).To(ContainSubstring("MemoryWait"))
	g.Expect(accounter.WritePlot(filepath.Join(t.TempDir(), "day.nothing"), readDay(g))).To(MatchError(ContainSubstring("out.svg")))
	g.Expect(accounter.WritePlot(path, nil)).To(MatchError(ContainSubstring("no request")))
}
