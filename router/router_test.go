package router

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/figtrack/figtrack/identifier"
)

func TestMemoryIsReservedForTheExpectedAnswer(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct {
		p    Prompt
		want identifier.Tokens
	}{
		{Prompt{Output: 2210}, 2210},
		{Prompt{Output: 2210, Expected: 900}, 900},
		{Prompt{Output: 2210, Expected: 4000}, 2210},
	} {
		g.Expect(outputEstimate(c.p)).To(Equal(c.want))
	}
}
