package tracer

import (
	"bufio"
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Write writes a trace: the Header, then the other lines in order of time.
func Write(w io.Writer, trace *Trace) error {
	type line struct {
		at     time.Time
		record any
	}
	lines := make([]line, 0, len(trace.Arrivals)+len(trace.Cancels)+len(trace.Faults))
	for _, a := range trace.Arrivals {
		lines = append(lines, line{a.Time, a})
	}
	for _, c := range trace.Cancels {
		lines = append(lines, line{c.Time, c})
	}
	for _, f := range trace.Faults {
		lines = append(lines, line{f.Time, f})
	}
	slices.SortStableFunc(lines, func(a, b line) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	out := bufio.NewWriter(w)
	encoder := json.NewEncoder(out)
	if err := encoder.Encode(trace.Header); err != nil {
		return errors.Wrap(err, "write trace")
	}
	for _, l := range lines {
		if err := encoder.Encode(l.record); err != nil {
			return errors.Wrap(err, "write trace")
		}
	}
	return errors.Wrap(out.Flush(), "write trace")
}
