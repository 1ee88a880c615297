package server

import (
	"math/rand/v2"

	"github.com/figtrack/figtrack/deduper"
	"github.com/figtrack/figtrack/prober"
	"github.com/figtrack/figtrack/registrar"
)

// newMembership returns the membership shell. It uses the peers of the settings
// as hints for finding other VMs.
func (s *Server) newMembership() *prober.Shell {
	self := prober.Record{
		VM:          s.Settings.VM,
		Address:     s.VMs.LocalAddr().String(),
		DataCentre:  s.Settings.DataCentre,
		Incarnation: s.Incarnation,
	}
	var hints []prober.Hint
	for _, p := range s.Settings.VMs.Peers {
		hints = append(hints, prober.Hint{VM: p.VM, Address: p.Address, DataCentre: p.DataCentre})
	}
	rng := rand.New(rand.NewPCG(uint64(s.Incarnation), 2))
	return prober.NewShell(prober.New(self, hints, rng), s.messenger, s.handleMembershipOutcome)
}

// handleMembershipOutcome handles an outcome of the membership. It runs on the
// membership's goroutine.
func (s *Server) handleMembershipOutcome(out prober.Outcome) {
	switch out := out.(type) {
	case prober.LiveChanged:
		s.SetLive(liveVMs(out.Live))
	case prober.MemberChanged:
		s.handleMemberChange(out.Record)
		s.Log.Info().
			Str("Member", string(out.Record.VM)).
			Stringer("State", out.Record.State).
			Bool("Leaving", out.Record.Leaving).
			Msg("MemberChanged")
	case prober.NoticeChanged:
		s.health.offer(prober.LeavingNoticed{
			Upstream: out.Notice.Upstream,
			Leaving:  out.Notice.Leaving,
			Source:   out.Notice.Source,
		})
	case prober.Superseded:
		s.Log.Error().Str("By", out.By.Address).Msg("AnotherProcessHasThisName")
		s.Drain()
	case prober.ListedLeaving:
		s.Log.Info().Msg("ListedAsLeaving")
		s.Drain()
	}
}

func (s *Server) handleMemberChange(r prober.Record) {
	switch r.State {
	case prober.Alive:
		s.quarantiner.SendAllMarks(r.VM)
	case prober.Dead:
		s.deduper.VMDied(deduper.Start{VM: r.VM, Incarnation: r.Incarnation})
	}
}

func liveVMs(members []prober.Member) []registrar.VM {
	vms := make([]registrar.VM, 0, len(members))
	for _, m := range members {
		vms = append(vms, registrar.VM{ID: m.VM, DataCentre: m.DataCentre})
	}
	return vms
}
