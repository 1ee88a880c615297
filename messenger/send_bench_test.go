package messenger_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figtrack/figtrack/certifier"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/messenger"
	"github.com/figtrack/figtrack/wire"
)

// BenchmarkSend measures a one-way message from the queue of one messenger to
// the handler of another one in the same process.
func BenchmarkSend(b *testing.B) {
	g := NewWithT(b)
	a, err := certifier.NewAuthority("himal", time.Now(), time.Hour)
	g.Expect(err).NotTo(HaveOccurred())
	one := newVM(g, a, "himal", certifier.RoleVM, "vm-1", a.Pair().Certificate)
	two := newVM(g, a, "himal", certifier.RoleVM, "vm-2", a.Pair().Certificate)
	got := make(chan struct{}, 1024)
	peers := []messenger.Peer{one.Peer, two.Peer}
	g.Expect(one.Start(func(context.Context, identifier.VM, *wire.Envelope) *wire.Envelope { return nil }, peers)).To(Succeed())
	g.Expect(two.Start(func(context.Context, identifier.VM, *wire.Envelope) *wire.Envelope {
		got <- struct{}{}
		return nil
	}, peers)).To(Succeed())
	defer one.Close()
	defer two.Close()
	send := func() {
		one.Send("vm-2", &wire.Envelope{Body: &wire.Envelope_Placement{Placement: &wire.Placement{
			Shard: "spec-desk/0", Request: "01a23e0b-1404-78b0-8140-172ed11d569c", Attempt: 1,
			Body: &wire.Placement_FirstToken{FirstToken: &wire.FirstToken{}},
		}}})
		<-got
	}
	send()
	before := one.Counts()
	b.ResetTimer()
	for range b.N {
		send()
	}
	b.StopTimer()
	after := one.Counts()
	b.ReportMetric(float64(after.BytesSent-before.BytesSent)/float64(b.N), "bytes/message")
}
