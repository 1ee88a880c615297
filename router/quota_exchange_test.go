package router

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/figtrack/figtrack/authorizer"
	"github.com/figtrack/figtrack/exchanger"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/stepper"
)

// TestQuotaPassesBetweenVMs guards against shells that don't fit together: three VMs on
// loopback share a quota of which one VM alone would have a third.
func TestQuotaPassesBetweenVMs(t *testing.T) {
	g := NewWithT(t)
	w := authorizer.Workspace{ID: "w", Quota: authorizer.Quota{Rate: 90_000, Burst: 9000}}
	table, err := authorizer.New([]authorizer.Workspace{w})
	g.Expect(err).NotTo(HaveOccurred())
	var fleets []*Fleet
	var shells []*exchanger.Shell
	roster := exchanger.Roster{Count: 3}
	for i := range 3 {
		conn, err := net.ListenPacket("udp", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		registry := prometheus.NewRegistry()
		steps := stepper.New(registry, zerolog.Nop())
		f := &Fleet{}
		f.quotas = newQuotas(steps, NewMetrics(registry), zerolog.Nop(), f.RequestExchange)
		f.quotas.setLimits(table)
		f.quotas.setMembers(3, i)
		self := exchanger.Self{VM: identifier.VM(fmt.Sprint("vm-", i)), Incarnation: 1, Secret: exchanger.NewSecret()}
		shell := exchanger.New(self, conn, f.Sections(), steps, exchanger.NewMetrics(registry), zerolog.Nop())
		f.SetExchange(shell)
		roster.Peers = append(roster.Peers, exchanger.Peer{VM: self.VM, Incarnation: 1, Address: conn.LocalAddr().(*net.UDPAddr).AddrPort(), Secret: self.Secret})
		fleets, shells = append(fleets, f), append(shells, shell)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for _, s := range shells {
		s.SetRoster(roster)
		go s.Run(ctx)
	}
	for _, f := range fleets {
		// More than a VM's own share ever holds.
		g.Eventually(func() bool { return f.TakeQuota(ctx, w, 8500, 0).IsAllowed }).WithTimeout(20 * time.Second).Should(BeTrue())
	}
	// Requests beyond the quota are refused, whichever VM they come through.
	allowed := 0.0
	began := time.Now()
	for i := range 60 {
		if fleets[i%3].TakeQuota(ctx, w, 8500, 0).IsAllowed {
			allowed += 8500
		}
	}
	g.Expect(allowed).To(BeNumerically("<=", (90_000*time.Since(began).Seconds()+9000)*1.1+140_000))
}
