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

// maxQueuedLines bounds the log lines that are queued while the output blocks.
// Further lines are dropped and counted.
const maxQueuedLines = 4096

// NewWriter returns a writer to w that never blocks, and a function that flushes
// and closes it.
func NewWriter(w io.Writer) (zerolog.LevelWriter, func()) {
	reportDropped := func(n int) {
		fmt.Fprintf(w, "{\"level\":\"warn\",\"Lines\":%d,\"message\":\"LogLinesDropped\"}\n", n)
	}
	d := diode.NewWriter(w, maxQueuedLines, 0, reportDropped)
	return zerolog.MultiLevelWriter(d), func() { d.Close() }
}

// maxLinesPerSecond bounds the log lines with the same message. A VM of the
// largest specified fleet has about 13 requests per second at peak, five lines
// each.
const maxLinesPerSecond = 300

// Limiter limits the rate of log lines for each kind, which is the message of a
// line, and counts the lines that it omits. It is a zerolog hook and safe for
// concurrent use.
type Limiter struct {
	mu sync.Mutex
	// currentSecond is the number of whole seconds since the start.
	currentSecond int64
	start         time.Time
	// written counts the lines written in the current second by kind, omitted
	// those left out since the last report.
	written, omitted map[string]int
	omittedTotal     prometheus.Counter
}

// Describe implements prometheus.Collector.
func (l *Limiter) Describe(ch chan<- *prometheus.Desc) { l.omittedTotal.Describe(ch) }

// Collect implements prometheus.Collector.
func (l *Limiter) Collect(ch chan<- prometheus.Metric) { l.omittedTotal.Collect(ch) }

// NewLimiter returns a limiter that has not omitted any line.
func NewLimiter() *Limiter {
	return &Limiter{start: time.Now(), written: map[string]int{}, omitted: map[string]int{}, omittedTotal: prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "figtrack", Name: "log_lines_left_out_total", Help: "Lines that the bound of the log left out.",
	})}
}

// Run implements zerolog.Hook.
func (l *Limiter) Run(e *zerolog.Event, _ zerolog.Level, kind string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := int64(time.Since(l.start) / time.Second); now != l.currentSecond {
		l.currentSecond = now
		clear(l.written)
	}
	if l.written[kind] >= maxLinesPerSecond {
		l.omitted[kind]++
		l.omittedTotal.Inc()
		e.Discard()
		return
	}
	l.written[kind]++
}

// Report logs the number of omitted lines for each kind that had any since the
// last report.
func (l *Limiter) Report(log zerolog.Logger) {
	l.mu.Lock()
	omitted := maps.Clone(l.omitted)
	clear(l.omitted)
	l.mu.Unlock()
	for kind, n := range omitted {
		log.Warn().Str("Kind", kind).Int("Lines", n).Msg("LinesLeftOut")
	}
}

// NewLog returns the logger of a VM. It writes JSON lines with the time of day
// and the time since the start, because the time of day may jump.
//
// The logger uses zerolog's global level, so that a reload can change it.
func NewLog(w io.Writer, cfg parser.Settings, limiter *Limiter) zerolog.Logger {
	return zerolog.New(w).
		With().
		Str("VM", string(cfg.VM)).
		Logger().
		Hook(limiter, timestampHook{start: time.Now()})
}

// timestampHook adds the time of day and the time since the start to each line.
type timestampHook struct{ start time.Time }

// Run implements zerolog.Hook.
func (s timestampHook) Run(e *zerolog.Event, _ zerolog.Level, _ string) {
	now := time.Now()
	e.Str("Time", now.UTC().Format("2006-01-02T15:04:05.000000Z07:00")).Int64("UptimeUs", now.Sub(s.start).Microseconds())
}
