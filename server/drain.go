package server

import (
	"os"
	"time"

	"github.com/figtrack/figtrack/drainer"
	"github.com/figtrack/figtrack/prober"
)

// drainPollInterval is the interval at which a stopping VM counts its open
// requests.
const drainPollInterval = 50 * time.Millisecond

// finishPollInterval is the interval at which a VM that exits looks for the last answers.
const finishPollInterval = 5 * time.Millisecond

// Stop drains the VM and shuts it down. It lets open requests finish until the
// drain limit, logs further signals and returns the number of requests that were
// cut.
func (s *Server) Stop(signals <-chan os.Signal) int {
	core := drainer.New(drainer.Settings{
		Notice: s.Settings.Drain.Notice,
		Limit:  s.Settings.Drain.Limit,
	})
	limit := time.Now().Add(s.Settings.Drain.Limit)
	s.Log.Info().Int("InFlight", s.listener.InFlight()).Msg("Stopping")
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	events := []drainer.Event{s.work(), drainer.Signalled{}}
	for {
		for _, e := range events {
			if cut, done := s.performDrain(core.Step(time.Now(), e)); done {
				if cut == 0 {
					cut = s.finish(limit)
				}
				s.close(cut)
				return cut
			}
		}
		select {
		case sig := <-signals:
			s.Log.Info().Str("Signal", sig.String()).Int("InFlight", s.listener.InFlight()).Msg("SignalIgnored")
			events = []drainer.Event{drainer.Signalled{}}
		case <-ticker.C:
			events = []drainer.Event{s.work(), drainer.Wake{}}
		}
	}
}

// work returns the work that the VM must finish before it exits.
func (s *Server) work() drainer.WorkChanged {
	return drainer.WorkChanged{Work: drainer.Work{Streams: s.listener.Busy(), Releases: s.reclaimer.PendingReleases()}}
}

// performDrain performs the outcomes of the drainer. It reports whether the VM
// must exit, and how many streams were cut.
func (s *Server) performDrain(outcomes []drainer.Outcome) (cut int, done bool) {
	for _, out := range outcomes {
		switch out := out.(type) {
		case drainer.FailReadiness:
			s.mu.Lock()
			s.stopping = true
			s.mu.Unlock()
		case drainer.TellPeers, drainer.HandOver:
			s.membership.Offer(prober.Leave{})
		case drainer.RefuseNew:
			s.listener.RefuseNew()
		case drainer.CutStreams:
			s.listener.CancelRequests()
		case drainer.Exit:
			return out.Cut, true
		}
	}
	return 0, false
}

// finish lets no further request begin and waits for the answers to those that began since
// the last look at them, until the drain's limit and for drainer.CutTimeout at least. It
// returns the number of requests that are cut.
func (s *Server) finish(limit time.Time) (cut int) {
	s.listener.StopReading()
	until := time.Now().Add(drainer.CutTimeout)
	if limit.After(until) {
		until = limit
	}
	for s.listener.Busy() > 0 && time.Now().Before(until) {
		time.Sleep(finishPollInterval)
	}
	return s.listener.Busy()
}

// close stops all components and waits for them.
func (s *Server) close(cut int) {
	_ = s.listener.Close()
	_ = s.operators.Close()
	s.cancel()
	s.poller.Wait()
	s.wg.Wait()
	_ = s.messenger.Close()
	s.Log.Info().Int("Cut", cut).Msg("Stopped")
}

// Kill stops the VM at once without draining it, as a crash would.
func (s *Server) Kill() {
	s.listener.CancelRequests()
	s.close(s.listener.InFlight())
}
