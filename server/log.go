package server

import (
	"io"
	"time"

	"github.com/rs/zerolog"

	"github.com/figtrack/figtrack/explainer"
	"github.com/figtrack/figtrack/identifier"
)

// timestampHook adds the time in microseconds to each line. The explain command
// sorts the lines of several VMs by it.
type timestampHook struct{}

// Run implements zerolog.Hook.
func (timestampHook) Run(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Str("Time", time.Now().UTC().Format("2006-01-02T15:04:05.000000Z07:00"))
}

// NewLog returns a logger that writes JSON lines to w. Lines about requests are
// also kept in memory, for the explain command.
func NewLog(w io.Writer, memory *explainer.RequestLog, vm identifier.VM, level zerolog.Level) zerolog.Logger {
	return zerolog.New(zerolog.MultiLevelWriter(w, memory)).
		Level(level).
		With().
		Str("VM", string(vm)).
		Logger().
		Hook(timestampHook{})
}
