package router

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/figtrack/figtrack/authorizer"
	"github.com/figtrack/figtrack/rationer"
	"github.com/figtrack/figtrack/stepper"
	"github.com/figtrack/figtrack/wire"
)

// loop exchanges with itself: a VM that is its own coordinator.
func loop(ctx context.Context, q *quotas, requests <-chan struct{}) {
	var sequence uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-requests:
		case <-time.After(100 * time.Millisecond):
		}
		sequence++
		sent := time.Now()
		report := &wire.ExchangeReport{VM: "a", Incarnation: 1, Sequence: sequence, Coordinator: "a", CoordinatorIncarnation: 1, Accepted: sequence - 1}
		q.Report(sent, report)
		digest := &wire.ExchangeDigest{VM: "a", Incarnation: 1, Sequence: sequence, Members: 1, Counting: 1}
		q.Collect(sent, report, digest)
		q.Apply(time.Now(), sent, digest)
	}
}

// TestVMWithoutExchangeHasItsShare guards against a VM that refuses all because its socket
// couldn't be opened.
func TestVMWithoutExchangeHasItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := authorizer.Workspace{ID: "w", Quota: authorizer.Quota{Rate: 1000, Burst: 1000}}
		table, err := authorizer.New([]authorizer.Workspace{w})
		g.Expect(err).NotTo(HaveOccurred())
		registry := prometheus.NewRegistry()
		f := &Fleet{isListed: true, roster: newRoster(), steps: stepper.New(registry, zerolog.Nop())}
		f.quotas = newQuotas(f.steps, NewMetrics(registry), zerolog.Nop(), f.RequestExchange)
		f.quotas.setLimits(table)
		allowed := 0.0
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			f.updateExchange()
			if f.TakeQuota(t.Context(), w, 100, 0).IsAllowed {
				allowed += 100
			}
		}
		g.Expect(allowed).To(BeNumerically(">", 10_000))
	})
}

// TestQuotaIsTakenReturnedAndRefused guards against a shell that loses decisions of its
// cores, and against callers that wait for ever when a core panics or nobody answers.
func TestQuotaIsTakenReturnedAndRefused(t *testing.T) {
	w := authorizer.Workspace{ID: "w", Quota: authorizer.Quota{Rate: 1000, Burst: 2000}}
	start := func(t *testing.T, options ...stepper.Option) *quotas {
		registry := prometheus.NewRegistry()
		requests := make(chan struct{}, 1)
		q := newQuotas(stepper.New(registry, zerolog.Nop(), options...), NewMetrics(registry), zerolog.Nop(), func() {
			select {
			case requests <- struct{}{}:
			default:
			}
		})
		table, err := authorizer.New([]authorizer.Workspace{w, {ID: "free"}})
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		q.setLimits(table)
		q.setMembers(1, 0)
		ctx, cancel := context.WithCancel(t.Context())
		t.Cleanup(cancel)
		go loop(ctx, q, requests)
		time.Sleep(3 * time.Second)
		return q
	}
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		q := start(t)
		f := &Fleet{quotas: q}
		g.Expect(f.TakeQuota(t.Context(), authorizer.Workspace{ID: "free"}, 1e9, 0).IsAllowed).To(BeTrue())
		g.Expect(f.TakeQuota(t.Context(), w, 1900, 0).IsAllowed).To(BeTrue())
		g.Expect(f.TakeQuota(t.Context(), w, 1000, 0).IsAllowed).To(BeTrue()) // By debt.
		began := time.Now()
		refused := f.TakeQuota(t.Context(), w, 1000, 0)
		g.Expect(refused.IsAllowed).To(BeFalse())
		g.Expect(refused.After).To(And(BeNumerically(">=", 700*time.Millisecond), BeNumerically("<", 1500*time.Millisecond)))
		g.Expect(time.Since(began)).To(BeNumerically("<=", rationer.MaxWait))
		f.ReturnQuota("w", 1900)
		time.Sleep(200 * time.Millisecond)
		g.Expect(f.TakeQuota(t.Context(), w, 1000, 0).IsAllowed).To(BeTrue())
		f.ReturnQuota("w", 1000)
		time.Sleep(200 * time.Millisecond)
		gone, leave := context.WithCancel(t.Context())
		leave()
		g.Expect(f.TakeQuota(gone, w, 10, 0).IsAllowed).To(BeFalse())
		q.setLimits(nil)
		g.Expect(f.TakeQuota(t.Context(), w, 1e6, 0).IsAllowed).To(BeTrue())
		g.Expect(q.IsActive(time.Now())).To(BeFalse())
	})
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		panics := false
		f := &Fleet{quotas: start(t, stepper.WithWrap(func(_ stepper.Core, event any, step func()) {
			if _, ok := event.(rationer.Arrived); ok && panics {
				panics = false
				panic("planted")
			}
			step()
		}))}
		panics = true
		g.Expect(f.TakeQuota(t.Context(), w, 100, 0).IsAllowed).To(BeFalse())
		g.Expect(f.TakeQuota(t.Context(), w, 100, 0).IsAllowed).To(BeTrue())
	})
}
