package estimator_test

import (
	"math"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/figtrack/figtrack/estimator"
)

func TestLineLearnsFromPrior(t *testing.T) {
	g := NewWithT(t)
	l := estimator.NewLine(0.01, 20e-6, 20_000, 8)
	g.Expect(l.At(8000)).To(BeNumerically("~", 0.17, 1e-9))
	l.Observe(8000, 5)
	g.Expect(l.At(8000)).To(BeNumerically("<", 1), "one outlier does not dominate the prior")
	rng := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		x := rng.Float64() * 20_000
		l.Observe(x, 0.02+40e-6*x+0.001*rng.NormFloat64())
	}
	g.Expect(l.At(10_000)).To(BeNumerically("~", 0.42, 0.02))
	g.Expect(l.Slope()).To(BeNumerically("~", 40e-6, 4e-6), "the prior has only a few percent of the weight left")
}

func TestLengthsLearnAndForget(t *testing.T) {
	g := NewWithT(t)
	l := estimator.NewLengths(200)
	g.Expect(l.Quantile(0.5)).To(BeNumerically("~", 200, 40))
	rng := rand.New(rand.NewPCG(1, 2))
	draw := func(median float64, n int) {
		for range n {
			l.Observe(median * math.Exp(0.4*rng.NormFloat64()))
		}
	}
	draw(90, 1000)
	g.Expect(l.Quantile(0.5)).To(BeNumerically("~", 90, 8))
	g.Expect(l.Below(90)).To(BeNumerically("~", 0.5, 0.06))
	g.Expect(l.EndsWithin(60, 60)).To(BeNumerically(">", l.EndsWithin(0, 60)), "a longer stream is more likely to end soon")
	g.Expect(l.Remaining(150, 0.5)).To(BeNumerically("<", l.Remaining(0, 0.5)))
	draw(400, 2100)
	g.Expect(l.Quantile(0.5)).To(BeNumerically("~", 400, 40), "old lengths are forgotten")
}

func TestMarginFollowsAQuantile(t *testing.T) {
	g := NewWithT(t)
	m := estimator.NewMargin(0.95, 0.002, 0)
	rng := rand.New(rand.NewPCG(1, 2))
	for range 5000 {
		m.Observe(0.01 + 0.01*rng.NormFloat64())
	}
	within := 0
	for range 2000 {
		if 0.01+0.01*rng.NormFloat64() <= m.Value() {
			within++
		}
	}
	g.Expect(within).To(BeNumerically(">", 1800))
	g.Expect(within).To(BeNumerically("<", 1990))
}

func TestDeviationReportsBias(t *testing.T) {
	g := NewWithT(t)
	var d estimator.Deviation
	for range 500 {
		d.Observe(1, 1.5)
	}
	g.Expect(d.Bias).To(BeNumerically("~", 0.5, 0.01))
	g.Expect(d.Relative()).To(BeNumerically("~", 0.333, 0.01))
}
