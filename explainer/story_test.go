package explainer_test

import (
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"github.com/figtrack/figtrack/explainer"
)

func TestStoryAndTimeline(t *testing.T) {
	g := NewWithT(t)
	a, err := os.ReadFile("testdata/vm-1.log")
	g.Expect(err).NotTo(HaveOccurred())
	b, err := os.ReadFile("testdata/vm-2.log")
	g.Expect(err).NotTo(HaveOccurred())
	story, err := explainer.Story("r1", strings.NewReader(string(b)), strings.NewReader(string(a)))
	g.Expect(err).NotTo(HaveOccurred())
	timeline, err := explainer.Timeline(strings.NewReader(string(b)), strings.NewReader(string(a)))
	g.Expect(err).NotTo(HaveOccurred())
	text := "Story\n" + strings.Join(story, "\n") + "\n\nTimeline\n" + strings.Join(timeline, "\n") + "\n"
	goldie.New(t).Assert(t, "story", []byte(text))
}

// TestViewsAndDifferences reads the logs of three VMs: one misses that a runner
// leaves during a store outage, one suspects a runner for a while, and one
// restarts.
func TestViewsAndDifferences(t *testing.T) {
	g := NewWithT(t)
	logs, err := os.ReadFile("testdata/differing.log")
	g.Expect(err).NotTo(HaveOccurred())
	var text strings.Builder
	for _, moment := range []string{"08:00:03", "08:00:07.500", "2026-12-04T08:00:12Z", "08:00:30"} {
		lines, err := explainer.ViewsAt(moment, strings.NewReader(string(logs)))
		g.Expect(err).NotTo(HaveOccurred())
		text.WriteString("At " + moment + "\n" + strings.Join(lines, "\n") + "\n\n")
	}
	lines, err := explainer.Differences(time.Second, strings.NewReader(string(logs)))
	g.Expect(err).NotTo(HaveOccurred())
	text.WriteString("Differences\n" + strings.Join(lines, "\n") + "\n")
	goldie.New(t).Assert(t, "differing", []byte(text.String()))
	_, err = explainer.ViewsAt("noon", strings.NewReader(string(logs)))
	g.Expect(err).To(MatchError(ContainSubstring("15:04:05.000")))
}
