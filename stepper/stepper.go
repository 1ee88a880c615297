// Package stepper calls the steps of cores, and the duties of shells outside of a request.
//
// A panic of either would end the process with all requests of the VM, or leave a lock
// held where net/http recovers it. A stepper recovers it, logs it with the event that
// caused it, counts it, and leaves it to the caller to rebuild the core.
package stepper

import (
	"fmt"
	"runtime/debug"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// maxEventText bounds the text of an event in the log, in bytes.
const maxEventText = 2048

// Core names a kind of core, or a duty of a shell, in logs and metrics.
type Core string

// Stepper calls steps. It is safe for concurrent use.
type Stepper struct {
	log    zerolog.Logger
	panics *prometheus.CounterVec
	// wrap runs a step in Call; nil to run it as it is.
	wrap Wrap
	// lost is closed once a core couldn't be rebuilt.
	lost     chan struct{}
	loseOnce sync.Once
}

// Option changes how a stepper calls steps.
type Option func(*Stepper)

// Wrap runs a step of a core with an event.
type Wrap func(core Core, event any, step func())

// WithWrap makes Call run each step through wrap, which may panic before or after it.
func WithWrap(wrap Wrap) Option {
	return func(s *Stepper) { s.wrap = wrap }
}

// New returns a stepper whose metrics are registered with registry.
func New(registry prometheus.Registerer, log zerolog.Logger, options ...Option) *Stepper {
	s := &Stepper{log: log, lost: make(chan struct{}), panics: prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "figtrack", Name: "core_panics_total", Help: "Panics of a core that were recovered, by core. Each is a fault of the program.",
	}, []string{"core"})}
	registry.MustRegister(s.panics)
	for _, option := range options {
		option(s)
	}
	return s
}

// Call calls a step of a core, or a duty of a shell, with an event and reports whether it
// returned. After a panic the core may be in any state and has to be replaced; a duty has
// the effect of a call without an answer.
func (s *Stepper) Call(core Core, event any, step func()) (ok bool) {
	defer func() {
		if cause := recover(); cause != nil {
			s.record(core, event, cause)
		}
	}()
	if s.wrap != nil {
		s.wrap(core, event, step)
	} else {
		step()
	}
	return true
}

func (s *Stepper) record(core Core, event, cause any) {
	s.panics.WithLabelValues(string(core)).Inc()
	text := fmt.Sprintf("%T%+v", event, event)
	s.log.Error().
		Str("Core", string(core)).
		Str("Event", text[:min(len(text), maxEventText)]).
		Str("Panic", fmt.Sprint(cause)).
		Str("Stack", string(debug.Stack())).
		Msg("CorePanicked")
}

// GiveUp reports that a core couldn't be rebuilt.
func (s *Stepper) GiveUp(core Core) {
	s.log.Error().Str("Core", string(core)).Msg("CoreNotRebuilt")
	s.loseOnce.Do(func() { close(s.lost) })
}

// Lost returns a channel that is closed once a core couldn't be rebuilt. The process has
// to end then, by a drain.
func (s *Stepper) Lost() <-chan struct{} { return s.lost }
