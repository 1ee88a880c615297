package server

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/figtrack/figtrack/configurer"
	"github.com/figtrack/figtrack/operator"
	"github.com/figtrack/figtrack/prober"
	"github.com/figtrack/figtrack/registrar"
	"github.com/figtrack/figtrack/syncer"
)

// maxSubmits is the most changes of operators that wait on one VM.
const maxSubmits = 32

// submits are the operators' changes that wait for their results.
type submits struct {
	next atomic.Uint64
	mu   sync.Mutex
	// waiting has an entry for each change under way, at most maxSubmits.
	waiting map[syncer.Token]chan syncer.Outcome
}

func (s *Server) newSync() *syncer.Shell {
	core := syncer.New(syncer.Settings{
		VM:          s.Settings.VM,
		DataCentre:  s.Settings.DataCentre,
		Incarnation: s.Incarnation,
	}, rand.New(rand.NewPCG(uint64(s.Incarnation), 3)))
	return syncer.NewShell(core, s.Store, s.messenger, s.observeSync)
}

// observeSync hears what the syncer decides, on its goroutine.
func (s *Server) observeSync(out syncer.Outcome) {
	switch out := out.(type) {
	case syncer.InForce:
		s.Log.Info().
			Uint64("Revision", uint64(out.Document.Revision)).
			Str("From", string(out.From)).
			Strs("Changes", out.Changes).
			Msg("ConfigurationInForce")
		s.SetConfiguration(fromDocument(out.Document))
	case syncer.Submitted:
		s.submits.answer(out.Token, out)
	case syncer.Everywhere:
		s.submits.answer(out.Token, out)
	case syncer.Mended:
		s.Log.Warn().
			Uint64("Store", uint64(out.Store)).
			Uint64("Own", uint64(out.Own)).
			Msg("StoreHadOlderConfiguration")
	case syncer.Rejected:
		s.Log.Error().Err(out.Err).Msg("ConfigurationNotReadable")
	}
}

// Submit brings an operator's change to the store. With wait it also waits
// until the change is in force on all live VMs, or says which are behind.
func (s *Server) Submit(ctx context.Context, change configurer.Change, wait bool) operator.Submission {
	token := syncer.Token(s.submits.next.Add(1))
	answers := s.submits.expect(token)
	if answers == nil || !s.sync.Offer(syncer.Submit{Token: token, Change: change, Wait: wait}) {
		s.submits.forget(token)
		return operator.Submission{Result: syncer.ResultBusy}
	}
	defer s.submits.forget(token)
	s.announce(change, true)
	out := operator.Submission{Result: syncer.ResultUnknown}
	for {
		select {
		case <-ctx.Done():
			return out
		case answer := <-answers:
			if !take(&out, answer, wait) {
				continue
			}
			if out.Result != syncer.ResultAccepted && out.Result != syncer.ResultUnknown {
				s.announce(change, false)
			}
			return out
		}
	}
}

// announce tells all VMs of the retirements in a change before the store has
// answered, or takes that back for a change that was refused.
func (s *Server) announce(change configurer.Change, on bool) {
	for _, op := range change.Operations {
		switch op := op.(type) {
		case configurer.RetireUpstream:
			s.members.Offer(prober.UpstreamLeaving{Upstream: op.ID, Leaving: on, Source: prober.SourceOperator})
		case configurer.RestoreUpstream:
			s.members.Offer(prober.UpstreamLeaving{Upstream: op.ID, Leaving: !on, Source: prober.SourceOperator})
		}
	}
}

// take adds an answer and says whether it was the last one.
func take(o *operator.Submission, answer syncer.Outcome, wait bool) bool {
	switch answer := answer.(type) {
	case syncer.Submitted:
		o.Result = answer.Result
		o.Revision = answer.Revision
		o.Conflict = answer.Conflict
		return !wait || answer.Result != syncer.ResultAccepted
	case syncer.Everywhere:
		o.Behind = answer.Behind
		o.Everywhere = len(answer.Behind) == 0
	}
	return true
}

// expect returns nil when too many changes wait.
func (s *submits) expect(token syncer.Token) <-chan syncer.Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting == nil {
		s.waiting = make(map[syncer.Token]chan syncer.Outcome)
	}
	if len(s.waiting) >= maxSubmits {
		return nil
	}
	answers := make(chan syncer.Outcome, 2)
	s.waiting[token] = answers
	return answers
}

func (s *submits) forget(token syncer.Token) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, token)
}

func (s *submits) answer(token syncer.Token, out syncer.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case s.waiting[token] <- out:
	default:
	}
}

// livePeers gives the live VMs to the syncer.
func livePeers(live []registrar.VM) syncer.LiveSet {
	var out syncer.LiveSet
	for _, v := range live {
		out.Live = append(out.Live, syncer.Peer{VM: v.ID, DataCentre: v.DataCentre})
	}
	return out
}
