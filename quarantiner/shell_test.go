package quarantiner_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/figtrack/figtrack/driver"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/quarantiner"
)

// endingProber is an upstream of one incarnation that ends.
type endingProber struct{ ended chan struct{} }

// Load implements quarantiner.Prober.
func (p endingProber) Load(context.Context) (driver.Load, error) {
	select {
	case <-p.ended:
		return driver.Load{}, &driver.Error{Kind: driver.KindNotRun, Err: errors.New("connection refused")}
	default:
		return driver.Load{Incarnation: 1}, nil
	}
}

// TestDeathThatAnotherVMReportedFirstMarksOwnRuns guards against a request that isn't suspected of the
// death of its upstream, as its VM has heard of that death before its own connection broke.
func TestDeathThatAnotherVMReportedFirstMarksOwnRuns(t *testing.T) {
	g := NewWithT(t)
	upstream := endingProber{make(chan struct{})}
	shell := quarantiner.NewShell("vm-1",
		func(identifier.Upstream) (quarantiner.Prober, bool) { return upstream, true },
		func(identifier.Upstream) identifier.VM { return "vm-1" },
		func() []identifier.VM { return nil }, nil, zerolog.Nop())
	go shell.Run(t.Context())
	r := quarantiner.Run{Request: "request-1", Attempt: 1, Upstream: "e1"}
	g.Expect(shell.Start(t.Context(), r, poison, false)).To(BeTrue())
	close(upstream.ended)
	death := quarantiner.Death{Upstream: "e1", Incarnation: 1}
	other := quarantiner.Mark{Fingerprint: poison + 1, Death: death, AttemptID: quarantiner.AttemptID{Request: "request-2", Attempt: 1}, State: quarantiner.StateDied}
	shell.Handle(t.Context(), "vm-2", quarantiner.Encode(quarantiner.SendMarks{Marks: []quarantiner.Mark{other}}))
	shell.ReportConnectionLost(t.Context(), "e1")
	shell.End(r, false, false)
	kind := func() quarantiner.Kind {
		return shell.Check(t.Context(), "request-3", poison).Kind
	}
	g.Eventually(kind).WithTimeout(2 * time.Second).WithPolling(time.Millisecond).Should(Equal(quarantiner.KindRunAlone))
}
