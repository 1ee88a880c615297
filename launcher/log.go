package launcher

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"github.com/figtrack/figtrack/parser"
)

// logLines is how many lines wait for a reader that stands still; further ones
// are dropped and counted.
const logLines = 4096

// NewWriter returns a writer that never blocks, and what writes out its rest.
func NewWriter(w io.Writer) (zerolog.LevelWriter, func()) {
	lost := func(n int) {
		fmt.Fprintf(w, "{\"level\":\"warn\",\"Lines\":%d,\"message\":\"LogLinesDropped\"}\n", n)
	}
	d := diode.NewWriter(w, logLines, 0, lost)
	return zerolog.MultiLevelWriter(d), func() { d.Close() }
}

// NewLog returns the log of a VM: JSON lines with the time of day and the time
// since the start, as the time of day may jump.
func NewLog(w io.Writer, cfg parser.Settings, level zerolog.Level) zerolog.Logger {
	return zerolog.New(w).
		Level(level).
		With().
		Str("VM", string(cfg.VM)).
		Logger().
		Hook(stamp{began: time.Now()})
}

// stamp gives each line its times.
type stamp struct{ began time.Time }

// Run implements zerolog.Hook.
func (s stamp) Run(e *zerolog.Event, _ zerolog.Level, _ string) {
	now := time.Now()
	e.Str("Time", now.UTC().Format("2006-01-02T15:04:05.000000Z07:00")).Int64("UptimeUs", now.Sub(s.began).Microseconds())
}
