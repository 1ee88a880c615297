package tracer

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/identifier"
)

// maxLine bounds one line of a trace in bytes.
const maxLine = 1 << 20

// ReadFile reads a trace from a file. See Read.
func ReadFile(path string) (*Trace, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open trace")
	}
	defer file.Close()
	trace, err := Read(file)
	return trace, errors.Wrap(err, path)
}

// Read reads a whole trace and checks it. An error names the line.
func Read(r io.Reader) (*Trace, error) {
	p := &parser{trace: &Trace{}, requests: make(map[identifier.Request]bool)}
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
		return nil, errors.New("no Header line: make a trace with figtrack record")
	}
	return p.trace, nil
}

// parser reads lines one by one.
type parser struct {
	trace    *Trace
	line     int
	last     time.Time
	requests map[identifier.Request]bool
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
	if p.requests[a.Request] {
		return errors.Errorf("Arrival: Request %q arrives twice", a.Request)
	}
	if err := checkArrival(p.trace.Header, a); err != nil {
		return errors.Wrapf(err, "Arrival of %q", a.Request)
	}
	p.requests[a.Request] = true
	p.trace.Arrivals = append(p.trace.Arrivals, a)
	return p.inOrder(a.Time)
}

func (p *parser) cancel(line []byte) error {
	var c Cancel
	if err := json.Unmarshal(line, &c); err != nil {
		return errors.Wrap(err, "Cancel")
	}
	if !p.requests[c.Request] {
		return errors.Errorf("Cancel: Request %q has not arrived before", c.Request)
	}
	p.trace.Cancels = append(p.trace.Cancels, c)
	return p.inOrder(c.Time)
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
	return p.inOrder(f.Time)
}

func (p *parser) inOrder(t time.Time) error {
	if t.Before(p.trace.Header.Time) {
		return errors.Errorf("Time %s is before the Header's", t.Format(time.RFC3339Nano))
	}
	if t.Before(p.last) {
		return errors.Errorf("Time %s goes back: sort the lines by Time", t.Format(time.RFC3339Nano))
	}
	p.last = t
	return nil
}
