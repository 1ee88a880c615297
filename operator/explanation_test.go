package operator

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/figtrack/figtrack/explainer"
)

func TestExplanationNamesVMsThatDidNotAnswer(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Explanation{}.problem()).To(HavePrefix("no VM remembers"))
	missing := Explanation{Unanswered: []Unanswered{{"vm-2", "context deadline exceeded"}}}
	g.Expect(missing.problem()).To(ContainSubstring("vm-2 did not answer (context deadline exceeded)"))
	missing.Lines = []json.RawMessage{json.RawMessage(`{"Time":"2026-12-04T08:00:00Z","VM":"vm-1","message":"Ended"}`)}
	sentences, err := explainer.DescribeLines(missing.all())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(sentences).To(HaveLen(2))
	g.Expect(sentences).To(ContainElement(ContainSubstring("vm-2: did not answer, so that its decisions are missing here: context deadline exceeded.")))
}
