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

// maxPendingSubmits bounds the operators' changes that wait for a result on one
// VM.
const maxPendingSubmits = 32

// pendingSubmits tracks the operators' changes that wait for their results.
type pendingSubmits struct {
	lastToken atomic.Uint64
	mu        sync.Mutex
	// waiting has an entry for each pending change, at most
	// maxPendingSubmits.
	waiting map[syncer.Token]chan syncer.Outcome
}

func (s *Server) newSync() *syncer.Shell {
	core := syncer.New(syncer.Settings{
		VM:          s.Settings.VM,
		DataCentre:  s.Settings.DataCentre,
		Incarnation: s.Incarnation,
	}, rand.New(rand.NewPCG(uint64(s.Incarnation), 3)))
	return syncer.NewShell(core, s.Store, s.messenger, s.handleSyncOutcome)
}

// handleSyncOutcome handles an outcome of the syncer. It runs on the syncer's
// goroutine.
func (s *Server) handleSyncOutcome(out syncer.Outcome) {
	switch out := out.(type) {
	case syncer.InForce:
		s.Log.Info().
			Uint64("Revision", uint64(out.Document.Revision)).
			Str("From", string(out.From)).
			Strs("Changes", out.Changes).
			Msg("ConfigurationInForce")
		s.SetConfiguration(fromDocument(out.Document))
	case syncer.SubmitEnded:
		s.pendingSubmits.deliver(out.Token, out)
	case syncer.RolloutEnded:
		s.pendingSubmits.deliver(out.Token, out)
	case syncer.WriteBackStarted:
		s.Log.Warn().
			Uint64("Store", uint64(out.Store)).
			Uint64("Own", uint64(out.Own)).
			Msg("StoreHadOlderConfiguration")
	case syncer.Rejected:
		s.Log.Error().Err(out.Err).Msg("ConfigurationNotReadable")
	}
}

// Submit writes an operator's change to the store. If wait is set, it also waits
// until the change is in force on all live VMs, or reports which are behind.
func (s *Server) Submit(ctx context.Context, change configurer.Change, wait bool) operator.Submission {
	token := syncer.Token(s.pendingSubmits.lastToken.Add(1))
	answers := s.pendingSubmits.register(token)
	if answers == nil || !s.sync.Offer(syncer.Submit{Token: token, Change: change, Wait: wait}) {
		s.pendingSubmits.unregister(token)
		return operator.Submission{Result: syncer.ResultBusy}
	}
	defer s.pendingSubmits.unregister(token)
	s.announceRetirements(change, true)
	out := operator.Submission{Result: syncer.ResultUnknown}
	for {
		select {
		case <-ctx.Done():
			return out
		case answer := <-answers:
			if !applyOutcome(&out, answer, wait) {
				continue
			}
			if out.Result != syncer.ResultAccepted && out.Result != syncer.ResultUnknown {
				s.announceRetirements(change, false)
			}
			return out
		}
	}
}

// announceRetirements notifies all VMs of the retired and restored upstreams in
// a change. It is called with on set before the store has answered, and with on
// unset to withdraw the notices if the change is refused.
func (s *Server) announceRetirements(change configurer.Change, on bool) {
	for _, op := range change.Operations {
		switch op := op.(type) {
		case configurer.RetireUpstream:
			s.membership.Offer(prober.UpstreamLeaving{Upstream: op.ID, Leaving: on, Source: prober.SourceOperator})
		case configurer.RestoreUpstream:
			s.membership.Offer(prober.UpstreamLeaving{Upstream: op.ID, Leaving: !on, Source: prober.SourceOperator})
		}
	}
}

// applyOutcome adds an outcome to a submission and reports whether it was the
// last one.
func applyOutcome(o *operator.Submission, answer syncer.Outcome, wait bool) bool {
	switch answer := answer.(type) {
	case syncer.SubmitEnded:
		o.Result = answer.Result
		o.Revision = answer.Revision
		o.Conflict = answer.Conflict
		return !wait || answer.Result != syncer.ResultAccepted
	case syncer.RolloutEnded:
		o.Behind = answer.Behind
		o.Everywhere = len(answer.Behind) == 0
	}
	return true
}

// register registers a change and returns the channel for its outcomes, or nil if
// too many changes are waiting.
func (s *pendingSubmits) register(token syncer.Token) <-chan syncer.Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting == nil {
		s.waiting = make(map[syncer.Token]chan syncer.Outcome)
	}
	if len(s.waiting) >= maxPendingSubmits {
		return nil
	}
	answers := make(chan syncer.Outcome, 2)
	s.waiting[token] = answers
	return answers
}

func (s *pendingSubmits) unregister(token syncer.Token) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, token)
}

func (s *pendingSubmits) deliver(token syncer.Token, out syncer.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case s.waiting[token] <- out:
	default:
	}
}

// livePeers converts the live VMs to the syncer's event.
func livePeers(live []registrar.VM) syncer.LiveSet {
	var out syncer.LiveSet
	for _, v := range live {
		out.Live = append(out.Live, syncer.Peer{VM: v.ID, DataCentre: v.DataCentre})
	}
	return out
}
