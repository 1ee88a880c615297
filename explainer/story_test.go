package explainer_test

import (
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"github.com/figtrack/figtrack/explainer"
)

func TestStoryAndTimelineOfSeveralVMs(t *testing.T) {
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
