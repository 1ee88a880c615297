package server

import (
	"io"
	"time"

	"github.com/rs/zerolog"

	"github.com/figtrack/figtrack/explainer"
	"github.com/figtrack/figtrack/identifier"
)

// stamp writes the time of a line with its microseconds: explanations order
// the lines of several VMs by it.
type stamp struct{}

// Run implements zerolog.Hook.
func (stamp) Run(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Str("Time", time.Now().UTC().Format("2006-01-02T15:04:05.000000Z07:00"))
}

// NewLog returns a log of JSON lines on w. What it says of requests is also
// kept in memory for operators.
func NewLog(w io.Writer, memory *explainer.Memory, vm identifier.VM, level zerolog.Level) zerolog.Logger {
	return zerolog.New(zerolog.MultiLevelWriter(w, memory)).
		Level(level).
		With().
		Str("VM", string(vm)).
		Logger().
		Hook(stamp{})
}
