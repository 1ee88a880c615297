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
	// maxLineBytes bounds one line of a trace.
	maxLineBytes = 1 << 20
	// maxTraceDuration bounds the time from the Header to the last arrival.
	maxTraceDuration = 24 * time.Hour
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

// Read reads a whole trace, checks it and sorts it by time. Errors name the
// line. If header is not nil, it is used as the Header of a log that has no
// Header line.
func Read(r io.Reader, header *Header) (*Trace, error) {
	p := &parser{trace: &Trace{}, requests: make(map[identifier.Request]bool)}
	if header != nil {
		p.trace.Header = *header
	}
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for lines.Scan() {
		p.lineNumber++
		if len(lines.Bytes()) == 0 {
			continue
		}
		if err := p.parseLine(lines.Bytes()); err != nil {
			return nil, errors.Wrapf(err, "line %d", p.lineNumber)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, errors.Wrapf(err, "line %d", p.lineNumber+1)
	}
	if p.trace.Header.Kind == "" {
		return nil, errors.New("no Header line: make a trace with figtrack record, or take the Header of one with --header")
	}
	return p.trace, p.checkAndSort()
}

// ReadHeader reads the Header line at the top of a trace.
func ReadHeader(path string) (*Header, error) {
	trace, err := ReadFile(path, nil)
	if err != nil {
		return nil, err
	}
	return &trace.Header, nil
}

// parser parses the lines of a trace one by one.
type parser struct {
	trace      *Trace
	lineNumber int
	requests   map[identifier.Request]bool
	// cancelLineNumbers holds the line number of each of the trace's Cancels.
	cancelLineNumbers []int
}

func (p *parser) parseLine(line []byte) error {
	var head struct{ Kind Kind }
	if err := json.Unmarshal(line, &head); err != nil {
		return errors.Wrap(err, "not a JSON object")
	}
	switch head.Kind {
	case KindHeader:
		return p.parseHeader(line)
	case KindArrival:
		return p.parseArrival(line)
	case KindCancel:
		return p.parseCancel(line)
	case KindFault:
		return p.parseFault(line)
	default:
		p.trace.Skipped++
		return nil
	}
}

func (p *parser) parseHeader(line []byte) error {
	if p.trace.Header.Kind != "" {
		return errors.New("second Header line, expected one: replay one run at a time")
	}
	if err := json.Unmarshal(line, &p.trace.Header); err != nil {
		return errors.Wrap(err, "Header")
	}
	return errors.Wrap(checkHeader(p.trace.Header), "Header")
}

func (p *parser) parseArrival(line []byte) error {
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

func (p *parser) parseCancel(line []byte) error {
	var c Cancel
	if err := json.Unmarshal(line, &c); err != nil {
		return errors.Wrap(err, "Cancel")
	}
	p.trace.Cancels = append(p.trace.Cancels, c)
	p.cancelLineNumbers = append(p.cancelLineNumbers, p.lineNumber)
	return nil
}

func (p *parser) parseFault(line []byte) error {
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

// checkAndSort checks the rules that concern several lines and sorts the lines by
// time.
func (p *parser) checkAndSort() error {
	for i, c := range p.trace.Cancels {
		if !p.requests[c.Request] {
			return errors.Errorf("line %d: Cancel: Request %q has no Arrival", p.cancelLineNumbers[i], c.Request)
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
	duration := t.Arrivals[len(t.Arrivals)-1].Time.Sub(t.Header.Time)
	if duration > maxTraceDuration {
		return errors.Errorf("the trace lasts %s, expected at most %s: cut it, or give the Header of its day", duration, maxTraceDuration)
	}
	return nil
}
