package server_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figtrack/figtrack/operator"
)

// TestExplainNamesVMsThatDidNotAnswer checks that a lost inquiry isn't taken for a VM
// without any lines.
func TestExplainNamesVMsThatDidNotAnswer(t *testing.T) {
	runOnSite(t, nil, func(s *site) {
		first, second := s.servers[0], s.servers[1].Settings.VM
		s.Expect(first.Explain(context.Background(), "r1")).To(Equal(operator.Explanation{}))
		s.links.setPartitioned(true)
		defer s.links.setPartitioned(false)
		began := time.Now()
		e := first.Explain(context.Background(), "r1")
		s.Expect(time.Since(began)).To(BeNumerically("<=", 2*time.Second))
		s.Expect(e.Lines).To(BeEmpty())
		s.Expect(e.Unanswered).To(HaveLen(1))
		s.Expect(e.Unanswered[0].VM).To(Equal(second))
		s.Expect(e.Unanswered[0].Reason).NotTo(BeEmpty())
	})
}
