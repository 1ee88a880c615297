package identifier_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/figtrack/figtrack/identifier"
)

func TestPiecesForRoundsUp(t *testing.T) {
	g := NewWithT(t)
	g.Expect(identifier.PiecesFor(0)).To(Equal(identifier.Pieces(0)))
	g.Expect(identifier.PiecesFor(1)).To(Equal(identifier.Pieces(1)))
	g.Expect(identifier.PiecesFor(2000)).To(Equal(identifier.Pieces(1)))
	g.Expect(identifier.PiecesFor(2001)).To(Equal(identifier.Pieces(2)))
}
