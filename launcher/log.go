package launcher

import (
	"fmt"
	"io"
	"maps"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
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

// linesPerSecond bounds the lines of one kind: a VM of the largest stated
// fleet has about 13 requests a second at the peak, five lines each.
const linesPerSecond = 300

// Limiter bounds the lines of each kind, which is their message, and counts
// what it leaves out. It is a hook of the log and safe for several goroutines.
type Limiter struct {
	mu sync.Mutex
	// second is the present second since the start.
	second int64
	began  time.Time
	// written and left count the lines of the present second by kind.
	written, left map[string]int
	lost          prometheus.Counter
}

// Describe implements prometheus.Collector.
func (l *Limiter) Describe(ch chan<- *prometheus.Desc) { l.lost.Describe(ch) }

// Collect implements prometheus.Collector.
func (l *Limiter) Collect(ch chan<- prometheus.Metric) { l.lost.Collect(ch) }

// NewLimiter returns a limiter that has left nothing out.
func NewLimiter() *Limiter {
	return &Limiter{began: time.Now(), written: map[string]int{}, left: map[string]int{}, lost: prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "figtrack", Name: "log_lines_left_out_total", Help: "Lines that the bound of the log left out.",
	})}
}

// Run implements zerolog.Hook.
func (l *Limiter) Run(e *zerolog.Event, _ zerolog.Level, kind string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := int64(time.Since(l.began) / time.Second); now != l.second {
		l.second = now
		clear(l.written)
	}
	if l.written[kind] >= linesPerSecond {
		l.left[kind]++
		l.lost.Inc()
		e.Discard()
		return
	}
	l.written[kind]++
}

// Report writes a line for each kind of which lines were left out.
func (l *Limiter) Report(log zerolog.Logger) {
	l.mu.Lock()
	left := maps.Clone(l.left)
	clear(l.left)
	l.mu.Unlock()
	for kind, n := range left {
		log.Warn().Str("Kind", kind).Int("Lines", n).Msg("LinesLeftOut")
	}
}

// NewLog returns the log of a VM: JSON lines with the time of day and the time
// since the start, as the time of day may jump.
//
// The level is that of the whole process, so that a reload can change it.
func NewLog(w io.Writer, cfg parser.Settings, limiter *Limiter) zerolog.Logger {
	return zerolog.New(w).
		With().
		Str("VM", string(cfg.VM)).
		Logger().
		Hook(limiter, stamp{began: time.Now()})
}

// stamp gives each line its times.
type stamp struct{ began time.Time }

// Run implements zerolog.Hook.
func (s stamp) Run(e *zerolog.Event, _ zerolog.Level, _ string) {
	now := time.Now()
	e.Str("Time", now.UTC().Format("2006-01-02T15:04:05.000000Z07:00")).Int64("UptimeUs", now.Sub(s.began).Microseconds())
}
