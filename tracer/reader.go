package tracer

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/identifier"
)

const (
	// maxLine bounds one line of a trace in bytes.
	maxLine = 1 << 20
	// longestTrace bounds the time from the Header to the last arrival.
	longestTrace = 24 * time.Hour
)

// ReadFile reads a trace from a file. See Read.
func ReadFile(path string, header *Header) (*Trace, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open trace")
	}
	defer file.Close()
	trace, err := Read(file, header)
	return trace, errors.Wrap(err, path)
}

// Read reads a whole trace, checks it and sorts it by time. An error names the
// line. A header that is not nil stands for the Header line of a log without
// one.
func Read(r io.Reader, header *Header) (*Trace, error) {
	p := &parser{trace: &Trace{}, requests: make(map[identifier.Request]bool)}
	if header != nil {
		p.trace.Header = *header
	}
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 64<<10), maxLine)
	for lines.Scan() {
		p.line++
		if len(lines.Bytes()) == 0 {
			continue
		}
		if err := p.parse(lines.Bytes()); err != nil {
			return nil, errors.Wrapf(err, "line %d", p.line)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, errors.Wrapf(err, "line %d", p.line+1)
	}
	if p.trace.Header.Kind == "" {
		return nil, errors.New("no Header line: make a trace with figtrack record, or take the Header of one with --header")
	}
	return p.trace, p.finish()
}

// ReadHeader reads the Header line at the top of a trace.
func ReadHeader(path string) (*Header, error) {
	trace, err := ReadFile(path, nil)
	if err != nil {
		return nil, err
	}
	return &trace.Header, nil
}

// parser reads lines one by one.
type parser struct {
	trace    *Trace
	line     int
	requests map[identifier.Request]bool
	// cancelLines are the lines of the trace's Cancels.
	cancelLines []int
}

func (p *parser) parse(line []byte) error {
	var head struct{ Kind Kind }
	if err := json.Unmarshal(line, &head); err != nil {
		return errors.Wrap(err, "not a JSON object")
	}
	switch head.Kind {
	case KindHeader:
		return p.header(line)
	case KindArrival:
		return p.arrival(line)
	case KindCancel:
		return p.cancel(line)
	case KindFault:
		return p.fault(line)
	default:
		p.trace.Skipped++
		return nil
	}
}

func (p *parser) header(line []byte) error {
	if p.trace.Header.Kind != "" {
		return errors.New("second Header line: replay one run at a time")
	}
	if err := json.Unmarshal(line, &p.trace.Header); err != nil {
		return errors.Wrap(err, "Header")
	}
	return errors.Wrap(checkHeader(p.trace.Header), "Header")
}

func (p *parser) arrival(line []byte) error {
	var a Arrival
	if err := json.Unmarshal(line, &a); err != nil {
		return errors.Wrap(err, "Arrival")
	}
	if a.Output == 0 {
		a.Output = a.MaxOutput
	}
	if p.requests[a.Request] {
		p.trace.Repeated++
		return nil
	}
	if err := checkArrival(p.trace.Header, a); err != nil {
		return errors.Wrapf(err, "Arrival of %q", a.Request)
	}
	p.requests[a.Request] = true
	p.trace.Arrivals = append(p.trace.Arrivals, a)
	return nil
}

func (p *parser) cancel(line []byte) error {
	var c Cancel
	if err := json.Unmarshal(line, &c); err != nil {
		return errors.Wrap(err, "Cancel")
	}
	p.trace.Cancels = append(p.trace.Cancels, c)
	p.cancelLines = append(p.cancelLines, p.line)
	return nil
}

func (p *parser) fault(line []byte) error {
	var f Fault
	if err := json.Unmarshal(line, &f); err != nil {
		return errors.Wrap(err, "Fault")
	}
	if err := checkFault(p.trace.Header, f); err != nil {
		return errors.Wrap(err, "Fault")
	}
	p.trace.Faults = append(p.trace.Faults, f)
	return nil
}

// finish checks what the whole trace must hold and sorts it.
func (p *parser) finish() error {
	for i, c := range p.trace.Cancels {
		if !p.requests[c.Request] {
			return errors.Errorf("line %d: Cancel: Request %q has no Arrival", p.cancelLines[i], c.Request)
		}
	}
	t := p.trace
	slices.SortStableFunc(t.Arrivals, func(a, b Arrival) int { return a.Time.Compare(b.Time) })
	slices.SortStableFunc(t.Cancels, func(a, b Cancel) int { return a.Time.Compare(b.Time) })
	slices.SortStableFunc(t.Faults, func(a, b Fault) int { return a.Time.Compare(b.Time) })
	if len(t.Arrivals) == 0 {
		return nil
	}
	if t.Arrivals[0].Time.Before(t.Header.Time) {
		t.Header.Time = t.Arrivals[0].Time
	}
	lasts := t.Arrivals[len(t.Arrivals)-1].Time.Sub(t.Header.Time)
	if lasts > longestTrace {
		return errors.Errorf("the trace lasts %s, allowed are %s: cut it, or give the Header of its day", lasts, longestTrace)
	}
	return nil
}
