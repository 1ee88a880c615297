package server

import (
	"time"

	"github.com/figtrack/figtrack/drainer"
	"github.com/figtrack/figtrack/prober"
)

// drainTick is the pace at which a stopping VM counts its streams.
const drainTick = 50 * time.Millisecond

// Stop stops the VM without cutting off requests. Each further value of
// signals ends the requests that are left. It returns how many were cut off.
func (s *Server) Stop(signals <-chan struct{}) int {
	core := drainer.New(drainer.Settings{
		Notice: s.Settings.Drain.Notice,
		Limit:  s.Settings.Drain.Limit,
	})
	s.Log.Info().Int("InFlight", s.listener.InFlight()).Msg("Stopping")
	ticker := time.NewTicker(drainTick)
	defer ticker.Stop()
	events := []drainer.Event{drainer.Signalled{}}
	for {
		for _, e := range events {
			if cut, done := s.drain(core.Step(time.Now(), e)); done {
				s.close(cut)
				return cut
			}
		}
		select {
		case <-signals:
			events = []drainer.Event{drainer.Signalled{}}
		case <-ticker.C:
			events = []drainer.Event{drainer.WorkChanged{Work: drainer.Work{Streams: s.listener.InFlight(), Releases: s.reclaimer.Pending()}}, drainer.Wake{}}
		}
	}
}

// drain performs outcomes. It says whether the VM is to exit and how many
// streams were cut off.
func (s *Server) drain(outcomes []drainer.Outcome) (cut int, done bool) {
	for _, out := range outcomes {
		switch out := out.(type) {
		case drainer.FailReadiness:
			s.mu.Lock()
			s.stopping = true
			s.mu.Unlock()
		case drainer.TellPeers, drainer.HandOver:
			s.members.Offer(prober.Leave{})
		case drainer.RefuseNew:
			s.listener.RefuseNew()
		case drainer.CutStreams:
			s.listener.Cut()
		case drainer.Exit:
			return out.Cut, true
		}
	}
	return 0, false
}

// close ends all duties.
func (s *Server) close(cut int) {
	_ = s.listener.Close()
	_ = s.operators.Close()
	s.cancel()
	s.poller.Wait()
	s.wg.Wait()
	_ = s.messenger.Close()
	s.Log.Info().Int("Cut", cut).Msg("Stopped")
}

// Kill ends the VM at once, as a crash would.
func (s *Server) Kill() {
	s.listener.Cut()
	s.close(s.listener.InFlight())
}
